// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "pathcleat/accounts/account.hpp"

namespace pathcleat {

/// @brief The client accounts in force, ready for look-ups by key. Not
/// thread-safe.
/// @ingroup accounts
class AccountTable {
 public:
  using Accounts = std::shared_ptr<const std::vector<Account>>;

  /// @brief Takes the accounts of a newer configuration over.
  void SetAccounts(Accounts accounts);

  /// @brief Whether callers need keys at all.
  bool RequiresKeys() const { return accounts_ && !accounts_->empty(); }

  /// @brief The account that holds a key; null if none does. The pointer keeps
  /// its version alive.
  std::shared_ptr<const Account> FindByKey(const KeyedDigest& key) const;

  /// @brief The account of a name; null if there is none.
  const Account* FindByName(std::string_view name) const;

  /// @brief All accounts, in the order of the configuration.
  const std::vector<Account>& All() const;

 private:
  Accounts accounts_;
  /// Sorted by digest: 20 bytes a key, where a hash table takes 64.
  std::vector<std::pair<KeyedDigest, std::uint32_t>> by_key_;
};

}  // namespace pathcleat
