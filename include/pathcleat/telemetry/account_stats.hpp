// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pathcleat {

/// @brief Counts of one account's requests at this host.
/// @ingroup telemetry
struct AccountCounts {
  std::uint64_t accepted = 0;
  std::uint64_t over_limit = 0;  ///< refused above the account's limit
  std::uint64_t not_run = 0;     ///< accepted, then refused for other reasons

  /// @brief Share of the requests that were neither refused above the limit nor
  /// refused later as not run; 1 without requests.
  double ServedShare() const;
};

/// @brief Counts requests by client account. Counts only a limited number of
/// accounts: those that send a request first. Not thread-safe.
/// @ingroup telemetry
class AccountStats {
 public:
  using Row = std::pair<std::string, AccountCounts>;

  void OnAccepted(const std::string& account);
  void OnOverLimit(const std::string& account);

  /// @brief Counts an accepted request that was refused later and has not run.
  void OnNotRun(const std::string& account);

  /// @brief The tenth of the counted accounts with the lowest served share, the
  /// lowest first; at least one account.
  std::vector<Row> LeastServed() const;

  /// @brief Counts of one account; all zero if the account is not counted.
  AccountCounts CountsOf(const std::string& account) const;

  /// @brief The ten accounts with the most accepted requests, followed by up to
  /// ten other accounts with the most refused requests. The number is limited
  /// to keep the page of metrics short.
  std::vector<Row> TopAccounts() const;

  /// @brief Number of requests from accounts that are not counted because the
  /// maximum number of counted accounts was reached.
  std::uint64_t uncounted() const { return uncounted_; }

 private:
  AccountCounts* Find(const std::string& account);

  std::map<std::string, AccountCounts> counts_;
  std::uint64_t uncounted_ = 0;
};

}  // namespace pathcleat
