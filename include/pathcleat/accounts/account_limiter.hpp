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

/// @brief What one host knows of the fleet when it decides.
/// @ingroup accounts
struct QuotaInput {
  AccountUsage other_usage;      ///< what the other hosts take of the account
  int host_count = 1;            ///< that share its limit, this one included
  int never_seen_count = 0;      ///< of them, that this host has never heard
  bool has_silent_host = false;  ///< some that took a share are not heard now
};

/// @brief One host's part of one account's limit, with which all hosts together
/// keep it without asking each other.
///
/// Far below the limit nobody needs a share: each host lets all pass that looks
/// like the usual. Near it, by what all hosts told, or where much more comes
/// here than was told, each host takes its share: in proportion to the demand
/// that it told last, with a small even part for hosts where the account is
/// new. The shares of all hosts are one whole, as each reckons with what it
/// told itself and the others heard. While a host is silent, no share grows.
/// Not thread-safe.
/// @ingroup accounts
class AccountLimiter {
 public:
  /// @param seed differs from host to host: who of many hosts, each with a
  /// small part of one request, lets one pass.
  AccountLimiter(const AccountLimit& limit,
                 const QuotaBounds& bounds,
                 std::uint64_t seed);

  /// @brief Changes the limit; a lower one binds at once.
  void SetLimit(const AccountLimit& limit);
  const AccountLimit& limit() const { return limit_; }

  /// @brief Takes one request, if the limit allows it.
  bool TryAcquire(const QuotaInput& fleet, Time now);

  /// @brief A request that was taken has not run: it does not count.
  void Release(Time now);

  /// @brief How long until one more would be taken; zero: now.
  Duration TimeUntilAvailable(const QuotaInput& fleet, Time now) const;

  /// @brief Between two that are taken, in the long run.
  Duration MeanInterval(const QuotaInput& fleet) const;

  /// @brief What is told to the others; from now on shares go by it.
  AccountUsage ReportUsage(bool has_silent, Time now);

  /// @brief Whether shares bind now.
  bool IsShareEnforced() const { return shared_; }

  /// @brief This host's part of the limit, 0 to 1.
  double HostShare(const QuotaInput& fleet) const;

  /// @brief Requests a second that come to this host.
  double Demand(Time now) const { return demand_.PerSecond(now); }

  /// @brief Whether nothing of it matters any more.
  bool IsIdle(Time now) const;

 private:
  void Advance(const QuotaInput& fleet, Time now);
  void Share(const QuotaInput& fleet, Time now);
  double Depth() const;
  double Capacity(double share) const;
  double RateOfAll(const QuotaInput& fleet) const;
  double BeyondLimit(const QuotaInput& fleet, Time now) const;
  double DemandOfAll(const QuotaInput& fleet, Time now) const;
  bool IsRush(const QuotaInput& fleet, Time now) const;
  bool IsLocalRush(Time now) const;
  double NextFraction();

  AccountLimit limit_;
  QuotaBounds bounds_;
  RateAverage demand_;
  RateAverage admitted_;
  double told_ = 0;                 ///< demand that the others know of
  std::array<double, 6> recent_{};  ///< what was told in the last three seconds
  std::size_t next_recent_ = 0;
  double level_ = 0;   ///< what all hosts may still take, as far as known
  double unseen_ = 0;  ///< of it, taken before anybody told of it
  double tokens_ = 0;  ///< of it, what this host may take
  bool shared_ = false;
  bool started_ = false;
  Time last_;         ///< up to when level_ and tokens_ are reckoned
  Time quiet_since_;  ///< demand is below the limit since then
  std::uint64_t random_;
};

}  // namespace pathcleat
