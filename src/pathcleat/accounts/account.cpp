// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/accounts/account.hpp"

#include <set>
#include <string_view>

#include "pathcleat/core/field_hash.hpp"
#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

// Maximum rate and burst of a limit. No fleet admits so many requests a second,
// so a larger number is a mistake.
constexpr double kMaxPerSecond = 1e9;

bool IsInRange(double number) {
  return number >= 0 && number <= kMaxPerSecond;
}

std::string_view BytesOf(const KeyedDigest& digest) {
  return {reinterpret_cast<const char*>(digest.data()), digest.size()};
}

}  // namespace

std::uint64_t AccountId(const Account& account) {
  return StableHash(account.name);
}

std::uint64_t ContentHash(const Account& account) {
  FieldHash hash;
  hash.Add(account.name);
  hash.Add(account.key_digests.size());
  for (const KeyedDigest& key : account.key_digests) {
    hash.Add(BytesOf(key));
  }
  hash.Add(account.priority.has_value());
  hash.Add(account.priority.value_or(0));
  hash.Add(account.limit.per_second);
  hash.Add(account.limit.burst);
  hash.Add(account.allowed_regions.size());
  for (const std::string& region : account.allowed_regions) {
    hash.Add(region);
  }
  return hash.hash();
}

std::optional<std::string> ValidateAccounts(
    const std::vector<Account>& accounts) {
  std::set<std::string_view> names;
  std::set<KeyedDigest> keys;
  for (const Account& account : accounts) {
    if (account.name.empty()) {
      return "an account has no name";
    }
    if (!names.insert(account.name).second) {
      return "account name '" + account.name + "' is used twice";
    }
    if (!IsInRange(account.limit.per_second) ||
        !IsInRange(account.limit.burst)) {
      return "rate or burst of account '" + account.name +
             "' is not between 0 and 1e9";
    }
    for (const KeyedDigest& key : account.key_digests) {
      if (!keys.insert(key).second) {
        return "a key of account '" + account.name + "' is used twice";
      }
    }
  }
  return std::nullopt;
}

}  // namespace pathcleat
