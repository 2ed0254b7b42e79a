// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "pathcleat/accounts/account_limiter.hpp"
#include "pathcleat/accounts/peer_usage.hpp"

namespace pathcleat {

/// @brief Whether a request is within its account's limit, with what decided.
/// @ingroup accounts
struct QuotaDecision {
  bool allowed = true;
  double limit_per_second = 0;
  double fleet_demand = 0;           ///< requests a second, as known here
  double share = 1;                  ///< this host's part of the limit
  Duration time_until_available{0};  ///< until this host may take one more
  Duration mean_interval{0};  ///< between two that it takes, in the long run
};

/// @brief The hosts of the fleet, as they matter to limits.
/// @ingroup accounts
struct QuotaHosts {
  int host_count = 1;          ///< this one included
  int never_seen_count = 0;    ///< of them, not heard since this host started
  bool sees_majority = false;  ///< most of those that are known
};

/// @brief Keeps the limits of all accounts at this host, and tells the others
/// what it takes of them. Not thread-safe.
/// @ingroup accounts
class QuotaControl final : public UsagePublisher {
 public:
  /// @param seed another one at each host and start.
  QuotaControl(const std::string& domain,
               const std::string& host,
               std::uint64_t seed);

  void SetBounds(const QuotaBounds& bounds) { bounds_ = bounds; }

  /// @brief Takes the limits of a newer configuration over.
  void SetAccounts(const std::vector<Account>& accounts);

  /// @brief Who shares the limits. Call a few times a second.
  void SetHosts(const QuotaHosts& sharers, Time now);

  /// @brief A host has ended by a planned stop.
  void OnHostStopped(const std::string& host) { fleet_.RemoveHost(host); }

  /// @brief Takes a request of an account.
  QuotaDecision Admit(const Account& account, Time now);

  /// @brief A request that was taken was refused later, and has not run.
  void Release(const Account& account, Time now);

  /// @brief Requests a second that come to the fleet from accounts that have
  /// homes and a limit, by region; those of several homes are shared evenly.
  std::map<std::string, double> DemandByHomeRegion(
      const std::vector<Account>& accounts,
      Time now) const;

  /// @brief What decides on an account now; takes nothing.
  QuotaDecision Explain(const Account& account, Time now) const;

  /// @brief Whether a limit came to be shared here since this host last told
  /// the others: they should know before the next round.
  bool HasUpdates() const { return has_news_; }

  UsageReport OwnUsage(Time now) override;
  UsageReport DomainUsage(Time now) override;
  std::vector<UsageReport> UsageSnapshot() const override;
  void OnUsageReport(const UsageReport& report, Time now) override;

 private:
  bool HasSilent(Time now) const;
  QuotaInput StateOf(std::uint64_t account, Time now) const;
  QuotaDecision DecisionOf(const AccountLimiter& meter,
                           const QuotaInput& state,
                           Time now) const;

  std::string domain_;
  std::string host_;
  std::uint64_t seed_;
  QuotaBounds bounds_;
  PeerUsage fleet_;
  QuotaHosts sharers_;
  bool has_news_ = false;
  std::unordered_map<std::uint64_t, AccountLimiter> meters_;  ///< by AccountId
  std::unordered_map<std::uint64_t, AccountUsage>
      told_;  ///< by this host, last
};

}  // namespace pathcleat
