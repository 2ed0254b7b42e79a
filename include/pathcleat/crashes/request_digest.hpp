// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "pathcleat/accounts/keyed_hasher.hpp"
#include "pathcleat/http/http_message.hpp"

namespace pathcleat {

/// @brief Which request a caller sent, whatever its id: equal on all hosts of
/// a fleet for the same method, host, path with query, client account and body.
/// Callers of no account are not told apart: the same request comes from many
/// addresses.
/// @ingroup crashes
using RequestDigest = std::uint64_t;

/// @brief Keeps digests of requests apart from other uses of the fleet's
/// secret. Without the secret nobody can make a request whose digest is that
/// of another one, to get that one refused.
/// @ingroup crashes
inline constexpr std::string_view kRequestDigestPurpose = "request digests";

/// @brief The digest of a request.
/// @param digester made for kRequestDigestPurpose; its secret must be known.
/// @param account name of the caller's client account; empty: it has none.
/// @ingroup crashes
RequestDigest DigestOf(const HttpRequest& request,
                       std::string_view account,
                       const KeyedHasher& digester);

/// @brief A digest as logs tell it: hexadecimal digits.
/// @ingroup crashes
std::string ToText(RequestDigest digest);

}  // namespace pathcleat
