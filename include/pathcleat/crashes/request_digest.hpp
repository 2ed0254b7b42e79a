// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "pathcleat/accounts/keyed_hasher.hpp"
#include "pathcleat/http/http_message.hpp"

namespace pathcleat {

/// @brief Identifies a request by its content, independently of its request id.
/// All hosts of a fleet compute the same digest for the same method, Host
/// header, path with query, client account and body. The caller's address is
/// not included, as callers without an account send the same request from many
/// addresses.
/// @ingroup crashes
using RequestDigest = std::uint64_t;

/// @brief Separates digests of requests from other uses of the fleet's secret.
/// Without the secret nobody can construct a request that has the digest of
/// another request, in order to get the other request blocked.
/// @ingroup crashes
inline constexpr std::string_view kRequestDigestPurpose = "request digests";

/// @brief The digest of a request.
/// @param hasher made for kRequestDigestPurpose; its secret must have been set.
/// @param account name of the caller's client account; empty: none.
/// @ingroup crashes
RequestDigest DigestOf(const HttpRequest& request,
                       std::string_view account,
                       const KeyedHasher& hasher);

/// @brief A digest as hexadecimal digits, as used in logs.
/// @ingroup crashes
std::string ToText(RequestDigest digest);

}  // namespace pathcleat
