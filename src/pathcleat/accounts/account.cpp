// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/accounts/account.hpp"

#include <set>
#include <string_view>

#include "pathcleat/core/field_hash.hpp"
#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

// No fleet takes more; beyond it a number is a mistake.
constexpr double kMostPerSecond = 1e9;

bool IsSensible(double number) {
  return number >= 0 && number <= kMostPerSecond;
}

std::string_view TextOf(const KeyedDigest& digest) {
  return {reinterpret_cast<const char*>(digest.data()), digest.size()};
}

}  // namespace

std::uint64_t AccountId(const Account& account) {
  return StableHash(account.name);
}

std::uint64_t ContentHash(const Account& account) {
  FieldHash mark;
  mark.Add(account.name);
  mark.Add(account.key_digests.size());
  for (const KeyedDigest& key : account.key_digests) {
    mark.Add(TextOf(key));
  }
  mark.Add(account.priority.has_value());
  mark.Add(account.priority.value_or(0));
  mark.Add(account.limit.per_second);
  mark.Add(account.limit.burst);
  mark.Add(account.allowed_regions.size());
  for (const std::string& region : account.allowed_regions) {
    mark.Add(region);
  }
  return mark.hash();
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
      return "two accounts are called '" + account.name + "'";
    }
    if (!IsSensible(account.limit.per_second) ||
        !IsSensible(account.limit.burst)) {
      return "the limit of account '" + account.name +
             "' is below zero or beyond any sense";
    }
    for (const KeyedDigest& key : account.key_digests) {
      if (!keys.insert(key).second) {
        return "a key of account '" + account.name + "' stands twice";
      }
    }
  }
  return std::nullopt;
}

}  // namespace pathcleat
