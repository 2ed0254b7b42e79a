// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/telemetry/account_stats.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

// Limits the memory use: each counted account takes 120 bytes.
constexpr std::size_t kMaxCountedAccounts = 512;
constexpr std::size_t kTopAccountCount = 10;

// Moves the accounts with the largest counts to the front.
template <class Count>
void SortDescendingBy(std::vector<AccountStats::Row>& rows, Count count) {
  std::stable_sort(
      rows.begin(), rows.end(),
      [count](const AccountStats::Row& a, const AccountStats::Row& b) {
        return count(a.second) > count(b.second);
      });
}

}  // namespace

double AccountCounts::ServedShare() const {
  const auto offered = static_cast<double>(accepted + over_limit);
  return offered == 0
             ? 1
             : static_cast<double>(accepted - std::min(accepted, not_run)) /
                   offered;
}

AccountCounts* AccountStats::Find(const std::string& account) {
  const auto found = counts_.find(account);
  if (found != counts_.end()) {
    return &found->second;
  }
  if (counts_.size() >= kMaxCountedAccounts) {
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

void AccountStats::OnNotRun(const std::string& account) {
  const auto found = counts_.find(account);
  if (found != counts_.end()) {
    ++found->second.not_run;
  }
}

std::vector<AccountStats::Row> AccountStats::LeastServed() const {
  constexpr std::size_t kTenth = 10;
  std::vector<Row> rows(counts_.begin(), counts_.end());
  std::stable_sort(rows.begin(), rows.end(), [](const Row& a, const Row& b) {
    return a.second.ServedShare() < b.second.ServedShare();
  });
  rows.resize((rows.size() + kTenth - 1) / kTenth);
  return rows;
}

AccountCounts AccountStats::CountsOf(const std::string& account) const {
  const auto found = counts_.find(account);
  return found == counts_.end() ? AccountCounts() : found->second;
}

std::vector<AccountStats::Row> AccountStats::TopAccounts() const {
  std::vector<Row> rows(counts_.begin(), counts_.end());
  SortDescendingBy(rows, [](const AccountCounts& c) { return c.accepted; });
  const std::size_t busiest_count = std::min(rows.size(), kTopAccountCount);
  std::vector<Row> refused(
      rows.begin() + static_cast<std::ptrdiff_t>(busiest_count), rows.end());
  rows.resize(busiest_count);
  SortDescendingBy(refused,
                   [](const AccountCounts& c) { return c.over_limit; });
  for (const Row& row : refused) {
    if (rows.size() == 2 * kTopAccountCount || row.second.over_limit == 0) {
      break;
    }
    rows.push_back(row);
  }
  return rows;
}

}  // namespace pathcleat
