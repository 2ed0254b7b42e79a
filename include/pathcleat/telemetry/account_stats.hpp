// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pathcleat {

/// @brief What this host has done with one account's requests.
/// @ingroup telemetry
struct AccountCounts {
  std::uint64_t accepted = 0;
  std::uint64_t over_limit = 0;  ///< refused beyond the account's limit
};

/// @brief Counts requests by client account, for a bounded number of accounts:
/// those that come first. Not thread-safe.
/// @ingroup telemetry
class AccountStats {
 public:
  using Row = std::pair<std::string, AccountCounts>;

  void OnAccepted(const std::string& account);
  void OnOverLimit(const std::string& account);

  /// @brief The counts of one account; zero if nothing came.
  AccountCounts CountsOf(const std::string& account) const;

  /// @brief The accounts with the most requests and with the most refusals, a
  /// few of each: as many as a page of metrics should name.
  std::vector<Row> TopAccounts() const;

  /// @brief Requests of accounts beyond the number that is counted.
  std::uint64_t uncounted() const { return uncounted_; }

 private:
  AccountCounts* Find(const std::string& account);

  std::map<std::string, AccountCounts> counts_;
  std::uint64_t uncounted_ = 0;
};

}  // namespace pathcleat
