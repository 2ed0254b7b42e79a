// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/accounts/account.hpp"

#include <algorithm>
#include <limits>

#include "pathcleat/accounts/account_table.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

Account MakeAccount(const std::string& name, std::uint8_t key) {
  Account account;
  account.name = name;
  account.key_digests = {KeyedDigest{key}};
  return account;
}

Test(account, ambiguous_accounts_are_refused) {
  cr_assert_not(
      ValidateAccounts({MakeAccount("a", 1), MakeAccount("b", 2)}).has_value());
  cr_assert(ValidateAccounts({MakeAccount("", 1)}).has_value(), "no name");
  cr_assert(
      ValidateAccounts({MakeAccount("a", 1), MakeAccount("a", 2)}).has_value(),
      "one name");
  cr_assert(
      ValidateAccounts({MakeAccount("a", 1), MakeAccount("b", 1)}).has_value(),
      "one key");
  for (const double number : {-1.0, 1e12, std::nan("")}) {
    Account account = MakeAccount("a", 1);
    account.limit.per_second = number;
    cr_assert(ValidateAccounts({account}).has_value(), "a rate of %f", number);
    account.limit = {1, number};
    cr_assert(ValidateAccounts({account}).has_value(), "a burst of %f", number);
  }
}

Test(account, burst_without_rate_and_account_without_keys_are_valid) {
  Account account;
  account.name = "a";
  account.limit.burst = 5;
  cr_assert_not(ValidateAccounts({account}).has_value());
  cr_assert_not(account.limit.IsSet());
}

// Guards against a host that does not detect a change of an account and keeps
// the account's old version.
Test(account, accounts_that_differ_in_any_field_have_different_hashes) {
  const Account plain = MakeAccount("a", 1);
  std::vector<Account> accounts(8, plain);
  accounts[1].name = "b";
  accounts[2].key_digests = {KeyedDigest{2}};
  accounts[3].key_digests.clear();
  accounts[4].priority = 0;
  accounts[5].limit.per_second = 1;
  accounts[6].limit.burst = 1;
  accounts[7].allowed_regions = {"north"};
  std::vector<std::uint64_t> hashes;
  for (const Account& account : accounts) {
    hashes.push_back(ContentHash(account));
  }
  std::sort(hashes.begin(), hashes.end());
  cr_assert(std::adjacent_find(hashes.begin(), hashes.end()) == hashes.end());
}

// Guards against a dangling account: a request in flight keeps its account
// after the configuration was replaced.
Test(account_table, found_account_outlives_its_configuration) {
  AccountTable table;
  cr_assert_not(table.RequiresKeys());
  table.SetAccounts(std::make_shared<std::vector<Account>>(
      std::vector<Account>{MakeAccount("a", 1)}));
  const auto found = table.FindByKey(KeyedDigest{1});
  table.SetAccounts(std::make_shared<std::vector<Account>>());
  cr_assert_eq(found->name, "a");
  cr_assert_null(table.FindByKey(KeyedDigest{1}).get());
  cr_assert_not(table.RequiresKeys());
}

}  // namespace
}  // namespace pathcleat
