// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/accounts/account_table.hpp"

#include <algorithm>

namespace pathcleat {

void AccountTable::SetAccounts(Accounts accounts) {
  accounts_ = std::move(accounts);
  by_key_.clear();
  by_key_.shrink_to_fit();
  for (std::uint32_t i = 0; i < accounts_->size(); ++i) {
    for (const KeyedDigest& key : (*accounts_)[i].key_digests) {
      by_key_.emplace_back(key, i);
    }
  }
  std::sort(by_key_.begin(), by_key_.end());
}

std::shared_ptr<const Account> AccountTable::FindByKey(
    const KeyedDigest& key) const {
  const auto found = std::lower_bound(
      by_key_.begin(), by_key_.end(), key,
      [](const auto& entry, const KeyedDigest& k) { return entry.first < k; });
  if (found == by_key_.end() || found->first != key) {
    return nullptr;
  }
  return {accounts_, &(*accounts_)[found->second]};
}

const Account* AccountTable::FindByName(std::string_view name) const {
  const auto& all = All();
  const auto found = std::find_if(
      all.begin(), all.end(),
      [name](const Account& account) { return account.name == name; });
  return found == all.end() ? nullptr : &*found;
}

const std::vector<Account>& AccountTable::All() const {
  static const std::vector<Account> none;
  return accounts_ ? *accounts_ : none;
}

}  // namespace pathcleat
