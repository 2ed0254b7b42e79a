// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace pathcleat {

/// @brief Appends a MAC (HMAC-SHA-512-256, libsodium) to a message.
/// @param key secret of any length.
/// @ingroup core
std::string AppendMac(std::string_view message, std::string_view key);

/// @brief Returns the message without its MAC; std::nullopt if the MAC is
/// wrong.
/// @ingroup core
std::optional<std::string_view> VerifyMac(std::string_view message_with_mac,
                                          std::string_view key);

/// @brief Computes the MAC that AppendMac would append to the concatenation of
/// some parts, without concatenating them.
/// @ingroup core
std::string MacOf(std::initializer_list<std::string_view> parts,
                  std::string_view key);

/// @brief Compares two secrets. The time depends on their lengths alone, so
/// that it does not reveal how many bytes match.
/// @ingroup core
bool AreSecretsEqual(std::string_view a, std::string_view b);

}  // namespace pathcleat
