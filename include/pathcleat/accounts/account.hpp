// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pathcleat/accounts/keyed_hasher.hpp"

namespace pathcleat {

/// @brief Rate limit of a client account, over all hosts together.
/// @ingroup accounts
struct AccountLimit {
  double per_second = 0;  ///< requests a second; 0: no limit
  double burst = 0;       ///< requests allowed above the rate in any window

  bool IsSet() const { return per_second > 0; }
  bool operator==(const AccountLimit&) const = default;
};

/// @brief A client account: one customer of the operators. The customer's
/// callers authenticate with API keys.
/// @ingroup accounts
struct Account {
  std::string name;
  std::vector<KeyedDigest> key_digests;
  std::optional<int>
      priority;  ///< replaces the route's priority; 0: most urgent
  AccountLimit limit;
  std::vector<std::string> allowed_regions;  ///< empty: any region
};

/// @brief 64-bit identifier of an account, the same on all hosts.
/// @ingroup accounts
std::uint64_t AccountId(const Account& account);

/// @brief Hash of all fields of an account. Equal accounts have equal hashes on
/// every host.
/// @ingroup accounts
std::uint64_t ContentHash(const Account& account);

/// @brief Checks that the accounts can be configured together. A key must
/// belong to one account only, names must be unique, and rates and bursts must
/// be numbers in range. An ambiguous configuration is refused. A burst without
/// a rate is valid and has no effect.
/// @return the first fault found; nothing if the accounts have no fault.
/// @ingroup accounts
std::optional<std::string> ValidateAccounts(
    const std::vector<Account>& accounts);

}  // namespace pathcleat
