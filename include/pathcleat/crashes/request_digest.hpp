// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "pathcleat/accounts/keyed_hasher.hpp"
#include "pathcleat/http/http_message.hpp"

namespace pathcleat {

/// @brief Identifies a request independently of its request id: equal on all
/// hosts of a fleet for the same method, host, path with query, client account
/// and body. Callers without an account are not distinguished, as the same
/// request comes from many addresses.
/// @ingroup crashes
using RequestDigest = std::uint64_t;

/// @brief Separates digests of requests from other uses of the fleet's secret.
/// Without the secret nobody can construct a request with the digest of another
/// request, to get that one blocked.
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
