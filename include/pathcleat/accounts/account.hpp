// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pathcleat/accounts/keyed_hasher.hpp"

namespace pathcleat {

/// @brief How many requests all hosts together take of a client account.
/// @ingroup accounts
struct AccountLimit {
  double per_second = 0;  ///< 0: no limit
  double burst = 0;       ///< requests beyond that in any window

  bool IsSet() const { return per_second > 0; }
  bool operator==(const AccountLimit&) const = default;
};

/// @brief A customer of the operators whose callers prove themselves by keys.
/// @ingroup accounts
struct Account {
  std::string name;
  std::vector<KeyedDigest> key_digests;
  std::optional<int> priority;  ///< goes before the route's; 0: most urgent
  AccountLimit limit;
  std::vector<std::string> allowed_regions;  ///< empty: any region
};

/// @brief Names an account in few bytes, alike on all hosts.
/// @ingroup accounts
std::uint64_t AccountId(const Account& account);

/// @brief Hash of all that a configuration says of an account. Equal accounts
/// have equal marks on every host.
/// @ingroup accounts
std::uint64_t ContentHash(const Account& account);

/// @brief Why these accounts cannot be in force together; nothing if they can.
/// A key must name one account, a name one account, and numbers must be
/// numbers: what is ambiguous is refused, not guessed. A burst without a rate
/// limits nothing and is no fault.
/// @ingroup accounts
std::optional<std::string> ValidateAccounts(
    const std::vector<Account>& accounts);

}  // namespace pathcleat
