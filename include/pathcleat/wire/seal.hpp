// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "pathcleat/core/error.hpp"

namespace pathcleat {

/// @brief Bytes that a seal adds in front.
constexpr std::size_t kSealBytes = 16;

/// @brief Puts a keyed MAC (HMAC-SHA-256, cut to 16 bytes) over context and
/// payload in front of the payload.
/// @param context what both ends know and the bytes need not carry.
/// @ingroup wire
std::string Seal(std::string_view key,
                 std::string_view context,
                 std::string_view payload);

/// @brief The payload of sealed bytes; kUnauthorized if the MAC is wrong.
/// @ingroup wire
Result<std::string_view> Unseal(std::string_view key,
                                std::string_view context,
                                std::string_view sealed);

/// @brief Bytes that nobody can guess, for nonces and tokens.
/// @ingroup wire
std::string RandomBytes(std::size_t count);

/// @brief A token that no other process will make: 32 hexadecimal digits.
/// @ingroup wire
std::string RandomToken();

}  // namespace pathcleat
