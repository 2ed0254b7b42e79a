// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "pathcleat/accounts/account.hpp"

namespace pathcleat {

/// @brief The configured client accounts, indexed by key. Not thread-safe.
/// @ingroup accounts
class AccountTable {
 public:
  using Accounts = std::shared_ptr<const std::vector<Account>>;

  /// @brief Replaces the accounts by those of a newer configuration.
  void SetAccounts(Accounts accounts);

  /// @brief Whether callers must authenticate: true if there are accounts.
  bool RequiresKeys() const { return accounts_ && !accounts_->empty(); }

  /// @brief The account that a key belongs to; null if there is none. The
  /// pointer keeps the whole list of accounts alive.
  std::shared_ptr<const Account> FindByKey(const KeyedDigest& key) const;

  /// @brief The account with this name; null if there is none.
  const Account* FindByName(std::string_view name) const;

  /// @brief As FindByName; the pointer keeps the whole list of accounts alive.
  std::shared_ptr<const Account> ShareByName(std::string_view name) const {
    const Account* account = FindByName(name);
    return account == nullptr
               ? nullptr
               : std::shared_ptr<const Account>(accounts_, account);
  }

  /// @brief All accounts, in the order of the configuration.
  const std::vector<Account>& All() const;

 private:
  Accounts accounts_;
  /// Sorted by digest. The vector takes 20 bytes per key; a hash table would
  /// take 64 bytes per key.
  std::vector<std::pair<KeyedDigest, std::uint32_t>> by_key_;
};

}  // namespace pathcleat
