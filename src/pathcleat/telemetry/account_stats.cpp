// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/telemetry/account_stats.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

// 120 bytes each.
constexpr std::size_t kMostCounted = 512;
constexpr std::size_t kForemost = 10;

// Moves the accounts with the largest counts to the front.
template <class Count>
void LeadBy(std::vector<AccountStats::Row>& rows, Count count) {
  std::stable_sort(
      rows.begin(), rows.end(),
      [count](const AccountStats::Row& a, const AccountStats::Row& b) {
        return count(a.second) > count(b.second);
      });
}

}  // namespace

AccountCounts* AccountStats::Find(const std::string& account) {
  const auto found = counts_.find(account);
  if (found != counts_.end()) {
    return &found->second;
  }
  if (counts_.size() >= kMostCounted) {
    ++uncounted_;
    return nullptr;
  }
  return &counts_[account];
}

void AccountStats::OnAccepted(const std::string& account) {
  if (AccountCounts* counts = Find(account)) {
    ++counts->accepted;
  }
}

void AccountStats::OnOverLimit(const std::string& account) {
  if (AccountCounts* counts = Find(account)) {
    ++counts->over_limit;
  }
}

AccountCounts AccountStats::CountsOf(const std::string& account) const {
  const auto found = counts_.find(account);
  return found == counts_.end() ? AccountCounts() : found->second;
}

std::vector<AccountStats::Row> AccountStats::TopAccounts() const {
  std::vector<Row> rows(counts_.begin(), counts_.end());
  LeadBy(rows, [](const AccountCounts& c) { return c.accepted; });
  const std::size_t busiest = std::min(rows.size(), kForemost);
  std::vector<Row> refused(rows.begin() + static_cast<std::ptrdiff_t>(busiest),
                           rows.end());
  rows.resize(busiest);
  LeadBy(refused, [](const AccountCounts& c) { return c.over_limit; });
  for (const Row& row : refused) {
    if (rows.size() == 2 * kForemost || row.second.over_limit == 0) {
      break;
    }
    rows.push_back(row);
  }
  return rows;
}

}  // namespace pathcleat
