// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "pathcleat/accounts/account.hpp"
#include "pathcleat/accounts/quota_bounds.hpp"
#include "pathcleat/accounts/rate_average.hpp"
#include "pathcleat/accounts/usage_report.hpp"
#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief State of the rest of the fleet, as this host has received it, for a
/// decision on a request of an account.
/// @ingroup accounts
struct QuotaInput {
  AccountUsage other_usage;  ///< sum over all other hosts
  int host_count = 1;        ///< hosts that share the limit, this one included
  int never_seen_count = 0;  ///< hosts among host_count without a heartbeat
                             ///< since this host started
  bool has_silent_host =
      false;  ///< a host that may be using a share sends no reports now
  int alive_count = 1;      ///< hosts that are heard, this one included
  double heard_demand = 0;  ///< requests a second at the other hosts that are
                            ///< heard; set only if has_silent_host
};

/// @brief One host's part in the enforcement of one account's limit. The hosts
/// keep the limit together, and send no requests to each other to do so.
///
/// Far below the limit no shares are enforced: each host admits all requests as
/// long as its own demand is near the demand that it reported last. Shares are
/// enforced when the demand that all hosts reported exceeds the limit, when few
/// tokens of the fleet are left, or when the demand at this host is far above
/// its last report. A host's share is proportional to the demand that the host
/// reported last, plus a small part that is equal for all hosts, so that hosts
/// where the account is new get a share. The shares of all hosts sum to 1, as
/// each host computes with its own last report and with the reports received
/// from the other hosts. While a host is silent, no share grows.
///
/// Where a host would get less than one request of the limit in about a second,
/// a share by tokens wastes most of the limit: the last reported demand of a
/// host is then mostly 0, and its next request arrives at another host. There
/// each host admits each request with the same probability, the rate that all
/// hosts may admit divided by the demand of all hosts. Not thread-safe.
/// @ingroup accounts
class AccountLimiter {
 public:
  /// @param seed differs from host to host. It determines the random fraction
  /// of a token that a host keeps when it starts to enforce its share, so that
  /// many hosts with a share of less than one request each do not all admit a
  /// request at the same time.
  AccountLimiter(const AccountLimit& limit,
                 const QuotaBounds& bounds,
                 std::uint64_t seed);

  /// @brief Changes the limit. A lower limit applies at once.
  void SetLimit(const AccountLimit& limit);
  const AccountLimit& limit() const { return limit_; }

  /// @brief Admits one request, if the limit allows it.
  bool TryAcquire(const QuotaInput& fleet, Time now);

  /// @brief Withdraws an admitted request that has not run. The request does
  /// not count against the limit.
  void Release(Time now);

  /// @brief Time until one more request would be admitted; zero: now.
  Duration TimeUntilAvailable(const QuotaInput& fleet, Time now) const;

  /// @brief Mean time between two admitted requests in the long run.
  Duration MeanInterval(const QuotaInput& fleet) const;

  /// @brief The usage to report to the other hosts. From now on this host's
  /// share is computed from the reported usage.
  /// @param has_silent_host whether some host sends no reports now.
  AccountUsage ReportUsage(bool has_silent_host, Time now);

  /// @brief Whether shares are enforced now.
  bool IsShareEnforced() const { return share_enforced_; }

  /// @brief This host's part of the limit, 0 to 1.
  double HostShare(const QuotaInput& fleet) const;

  /// @brief Requests a second that arrive at this host.
  double Demand(Time now) const { return demand_.PerSecond(now); }

  /// @brief Whether the state can be discarded: no shares are enforced and
  /// almost no requests arrive.
  bool IsIdle(Time now) const;

 private:
  void Advance(const QuotaInput& fleet, Time now);
  void EnforceShare(const QuotaInput& fleet, Time now);
  double FleetCapacity() const;
  double HostCapacity(double share) const;
  double FleetRate(const QuotaInput& fleet) const;
  double ExcessDemand(const QuotaInput& fleet, Time now) const;
  double FleetDemand(const QuotaInput& fleet, Time now) const;
  bool IsFleetSurge(const QuotaInput& fleet, Time now) const;
  bool IsLocalSurge(Time now) const;
  bool IsSparse(const QuotaInput& fleet) const;
  double AdmitProbability(const QuotaInput& fleet, Time now) const;
  bool TakeToken(const QuotaInput& fleet, Time now);
  double NextRandomFraction();

  AccountLimit limit_;
  QuotaBounds bounds_;
  RateAverage demand_;
  RateAverage admitted_;
  double reported_demand_ = 0;  ///< requests a second in the last report
  std::array<double, 8>
      recent_demand_{};  ///< demand in the reports of the last 4 s
  std::size_t next_recent_demand_ = 0;
  double fleet_tokens_ = 0;  ///< estimated tokens left for all hosts together
  double unreported_use_ =
      0;  ///< estimated use by all hosts that is not reported yet, in tokens
  double tokens_ = 0;  ///< tokens that this host may use
  bool share_enforced_ = false;
  bool started_ = false;
  Time updated_at_;     ///< time of fleet_tokens_ and tokens_
  Time near_limit_at_;  ///< last time at which demand was near the limit
  std::uint64_t random_state_;
};

}  // namespace pathcleat
