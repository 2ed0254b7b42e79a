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

/// @brief Whether a request is within its account's limit, and the figures that
/// the decision is based on.
/// @ingroup accounts
struct QuotaDecision {
  bool allowed = true;
  double limit_per_second = 0;
  double fleet_demand =
      0;  ///< requests a second of all hosts, by the reports that this host has
  double share = 1;  ///< this host's part of the limit
  Duration time_until_available{
      0};  ///< time until this host may admit one more request
  Duration mean_interval{0};  ///< average time between two admitted requests
};

/// @brief The hosts that share the limits.
/// @ingroup accounts
struct QuotaHosts {
  int host_count = 1;  ///< hosts that share the limits, this host included
  int never_seen_count = 0;  ///< hosts among host_count without a heartbeat
                             ///< since this host started
  int alive_count = 1;       ///< hosts among host_count that are considered
                             ///< alive, this host included
  bool sees_majority =
      false;  ///< this host considers most of the listed hosts alive
};

/// @brief Enforces the limits of all accounts at this host and reports the
/// host's usage to the other hosts. Not thread-safe.
/// @ingroup accounts
class QuotaControl final : public UsagePublisher {
 public:
  /// @param seed differs at each host and start.
  QuotaControl(const std::string& domain,
               const std::string& host,
               std::uint64_t seed);

  void SetBounds(const QuotaBounds& bounds) { bounds_ = bounds; }

  /// @brief Replaces the limits by those of a newer configuration.
  void SetAccounts(const std::vector<Account>& accounts);

  /// @brief Sets the hosts that share the limits and drops idle state. Call a
  /// few times a second.
  void SetHosts(const QuotaHosts& hosts, Time now);

  /// @brief Drops the usage of a host after its planned stop.
  void OnHostStopped(const std::string& host) { peer_usage_.RemoveHost(host); }

  /// @brief Admits or refuses a request of an account.
  /// @return the decision; its figures are set only if the request is refused.
  QuotaDecision Admit(const Account& account, Time now);

  /// @brief Withdraws an admitted request that was refused later and has not
  /// run.
  void Release(const Account& account, Time now);

  /// @brief Requests a second, by region, of the accounts that have allowed
  /// regions and a limit. The demand of an account counts up to its limit, and
  /// is divided evenly among the account's regions.
  std::map<std::string, double> DemandByAllowedRegion(
      const std::vector<Account>& accounts,
      Time now) const;

  /// @brief The figures that a decision on the account would be based on now.
  /// Admits no request.
  QuotaDecision Explain(const Account& account, Time now) const;

  /// @brief Whether this host began to enforce shares of a limit since its last
  /// report. The other hosts should receive a report before the next regular
  /// one.
  bool HasUpdates() const { return has_updates_; }

  UsageReport OwnUsage(Time now) override;
  UsageReport DomainUsage(Time now) override;
  std::vector<UsageReport> UsageSnapshot() const override;
  void OnUsageReport(const UsageReport& report, Time now) override;

 private:
  bool HasSilentHost(Time now) const;
  QuotaInput StateOf(std::uint64_t account, Time now) const;
  QuotaDecision DecisionOf(const AccountLimiter& limiter,
                           const QuotaInput& state,
                           Time now) const;

  std::string domain_;
  std::string host_;
  std::uint64_t seed_;
  QuotaBounds bounds_;
  PeerUsage peer_usage_;
  QuotaHosts hosts_;
  bool has_updates_ = false;
  std::unordered_map<std::uint64_t, AccountLimiter>
      limiters_;  ///< by AccountId
  std::unordered_map<std::uint64_t, AccountUsage>
      reported_;  ///< last report of this host
};

}  // namespace pathcleat
