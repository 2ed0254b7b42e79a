// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pathcleat {

/// @brief Appends a MAC (HMAC-SHA-512-256, libsodium) to a message.
/// @param key any secret text.
/// @ingroup core
std::string AppendMac(std::string_view message, std::string_view key);

/// @brief The message without its MAC, or nothing if the MAC is wrong.
/// @ingroup core
std::optional<std::string_view> VerifyMac(std::string_view sealed,
                                          std::string_view key);

/// @brief Whether two secrets are equal, in a time that tells nothing of them.
/// @ingroup core
bool AreSecretsEqual(std::string_view a, std::string_view b);

}  // namespace pathcleat
