// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pathcleat {

/// @brief Encodes bytes as standard base64 with padding (libsodium).
/// @ingroup core
std::string ToBase64(std::string_view bytes);

/// @brief Decodes base64; std::nullopt if the text is not valid base64.
/// @ingroup core
std::optional<std::string> FromBase64(const std::string& text);

}  // namespace pathcleat
