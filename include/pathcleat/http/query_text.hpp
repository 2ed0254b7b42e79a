// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pathcleat {

/// @brief Decoded value of a query parameter of a request target; std::nullopt
/// if there is no parameter of this name.
/// @ingroup http
std::optional<std::string> QueryValue(std::string_view target,
                                      std::string_view name);

/// @brief Percent-encodes a text for use in a query.
/// @ingroup http
std::string EncodeQueryText(std::string_view text);

}  // namespace pathcleat
