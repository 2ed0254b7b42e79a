// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/accounts/account_limiter.hpp"

#include <algorithm>
#include <cmath>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

// Ratios given below with a scenario name are the fullest window in
// pathcleat-lab quotas (seeds 1 and 2), as a fraction of what a window may
// admit, with only that constant changed.

// Parts of the overage and of the slack that are used up by hosts computing
// their shares at slightly different times; the rest is left for requests that
// are in flight when a surge begins. The slack part is large because at a few
// requests a second chance alone brings more requests at once than the limit
// allows.
constexpr double kUsedOverageRatio = 0.1;
constexpr double kUsedSlackRatio = 0.5;
// Part of a limit that is shared equally, the rest by demand, so that a host
// where the account is new gets something. At 1.0 a surge that comes to two
// hosts only gets 0.67 of the limit instead of all of it.
constexpr double kEqualShareRatio = 0.15;
// A fleet surge: demand above the limit by this factor, plus the noise of a few
// requests a second (in square roots of the rate).
constexpr double kSurgeFactor = 1.1;
constexpr double kSurgeNoise = 1.5;
// Shares are no longer enforced once demand has stayed below this part of the
// limit for this long.
constexpr double kNearLimitRatio = 0.9;
constexpr Duration kBelowLimitTime{300'000};
// Shares are enforced when less than this part of the fleet's tokens is left.
constexpr double kLowTokensRatio = 0.4;
// Part of the fleet's tokens assumed to be left when a host starts: the other
// hosts may have used them up.
constexpr double kInitialFleetTokensRatio = 0.5;
// While shares are not enforced, a host may hold this part of its share of the
// fleet's capacity, or this many requests if the account is small, and its
// tokens refill faster than its share by this factor.
constexpr double kUnenforcedCapacityRatio = 0.7;
constexpr double kUnenforcedMinRequests = 4;
constexpr double kUnenforcedRateFactor = 1.3;
// Part of the host's capacity that is filled at the start.
constexpr double kInitialHostTokensRatio = 0.25;
// A local surge: demand at this host above its last report by this factor and
// beyond noise.
constexpr double kLocalSurgeFactor = 1.7;
constexpr double kLocalSurgeNoise = 2;
constexpr double kLocalSurgeMinPerSecond = 3.5;
// Time from a request until every host accounts for it: a heartbeat round, a
// report round, and the averaging time.
constexpr double kReportDelaySeconds = 1.2;
// Time in which the tokens left are used up. Twice the delay of reports, so
// that the hosts' rates do not oscillate together.
constexpr double kSpendSeconds = 2.5;
// Seconds of the rate that are held in reserve for use by other hosts that is
// not reported yet. Without the reserve the window of "60% killed in a rush" is
// at 1.04 instead of 0.96.
constexpr double kReserveSeconds = 0.3;
// Time in which an overdraft is made up for; it must fit into the window. With
// 2.5 s the window of "60% killed in a rush" is at 0.99, and that of "large,
// rush" at 0.945 instead of 0.93.
constexpr double kRepaySeconds = 1.2;
// Part of the rate that remains available after the limit was exceeded.
constexpr double kMinRateRatio = 0.05;
// Seconds of its share of the rate that a host may save up.
constexpr double kMaxSavedSeconds = 0.5;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  constexpr double kMicros = 1e6;
  constexpr double kMaxSeconds = 3'600;
  return Duration(static_cast<Duration::rep>(
      std::min(std::max(0.0, seconds), kMaxSeconds) * kMicros));
}

}  // namespace

AccountLimiter::AccountLimiter(const AccountLimit& limit,
                               const QuotaBounds& bounds,
                               std::uint64_t seed)
    : limit_(limit), bounds_(bounds), random_state_(seed) {}

// Requests that all hosts together may admit at once, on top of the rate.
double AccountLimiter::FleetCapacity() const {
  const double window = limit_.per_second * Seconds(bounds_.window);
  return limit_.burst +
         kUsedOverageRatio * bounds_.overage * (window + limit_.burst) +
         kUsedSlackRatio * bounds_.slack;
}

void AccountLimiter::SetLimit(const AccountLimit& limit) {
  limit_ = limit;
  fleet_tokens_ = std::min(fleet_tokens_, FleetCapacity());
}

double AccountLimiter::HostShare(const QuotaInput& fleet) const {
  const double hosts = std::max(1, fleet.host_count);
  const double weights = fleet.other_usage.share_weight + reported_demand_;
  if (weights <= 0) {
    return 1 / hosts;
  }
  const double equal_part = kEqualShareRatio * weights / hosts;
  const double seen_ratio = 1 - fleet.never_seen_count / hosts;
  return seen_ratio * (reported_demand_ + equal_part) /
         (weights * (1 + kEqualShareRatio));
}

double AccountLimiter::HostCapacity(double share) const {
  if (share_enforced_) {
    return share * limit_.per_second * kMaxSavedSeconds + 1;
  }
  return std::max(kUnenforcedCapacityRatio * share * FleetCapacity(),
                  kUnenforcedMinRequests);
}

double AccountLimiter::FleetDemand(const QuotaInput& fleet, Time now) const {
  return fleet.other_usage.demand + demand_.PerSecond(now);
}

// Requests a second that all hosts together may admit now. While shares are
// enforced: the limit's rate plus a part of the tokens left, or less than the
// rate after an overdraft. The current use of silent hosts is unknown, so no
// part of the tokens left is added while a host is silent.
double AccountLimiter::FleetRate(const QuotaInput& fleet) const {
  if (!share_enforced_) {
    return limit_.per_second * kUnenforcedRateFactor;
  }
  const double tokens_left =
      fleet_tokens_ - unreported_use_ - limit_.per_second * kReserveSeconds;
  const double extra_rate = tokens_left < 0 ? tokens_left / kRepaySeconds
                            : fleet.has_silent_host
                                ? 0
                                : tokens_left / kSpendSeconds;
  return std::max(limit_.per_second * kMinRateRatio,
                  limit_.per_second + extra_rate);
}

bool AccountLimiter::IsFleetSurge(const QuotaInput& fleet, Time now) const {
  const double surge_rate = limit_.per_second * kSurgeFactor +
                            kSurgeNoise * std::sqrt(limit_.per_second);
  return FleetDemand(fleet, now) > surge_rate ||
         fleet_tokens_ < kLowTokensRatio * FleetCapacity();
}

// Whether much more arrives here than was reported. Other hosts may see the
// same surge, but their reports arrive only later.
bool AccountLimiter::IsLocalSurge(Time now) const {
  return demand_.PerSecond(now) >
         reported_demand_ * kLocalSurgeFactor +
             kLocalSurgeNoise * std::sqrt(reported_demand_) +
             kLocalSurgeMinPerSecond / (1 + reported_demand_);
}

// Requests a second beyond the limit, on the assumption that demand at the
// other hosts has grown as much as here.
double AccountLimiter::ExcessDemand(const QuotaInput& fleet, Time now) const {
  const double own = demand_.PerSecond(now);
  const double growth =
      reported_demand_ < 1 ? 1 : std::max(1.0, own / reported_demand_);
  return std::max(0.0,
                  fleet.other_usage.demand * growth + own - limit_.per_second);
}

// Pseudo-random fraction in [0, 1). It differs between hosts, so that hosts
// with a share of less than one request each do not all admit one at the same
// time.
double AccountLimiter::NextRandomFraction() {
  random_state_ = MixHashes(random_state_, random_state_ + 1);
  return ToUnitInterval(random_state_);
}

void AccountLimiter::EnforceShare(const QuotaInput& fleet, Time now) {
  unreported_use_ =
      std::min(FleetCapacity(), kReportDelaySeconds * ExcessDemand(fleet, now));
  share_enforced_ = true;
  near_limit_at_ = now;
  tokens_ = std::min(tokens_, NextRandomFraction());
}

void AccountLimiter::Advance(const QuotaInput& fleet, Time now) {
  const double share = HostShare(fleet);
  if (!started_) {
    started_ = true;
    updated_at_ = now;
    fleet_tokens_ = kInitialFleetTokensRatio * FleetCapacity();
    tokens_ = kInitialHostTokensRatio * HostCapacity(share);
  }
  const double elapsed = std::max(0.0, Seconds(now - updated_at_));
  updated_at_ = std::max(updated_at_, now);
  fleet_tokens_ =
      std::clamp(fleet_tokens_ +
                     (limit_.per_second - fleet.other_usage.admitted) * elapsed,
                 -FleetCapacity(), FleetCapacity());
  unreported_use_ *= std::exp(-elapsed / kReportDelaySeconds);
  tokens_ = std::min(HostCapacity(share),
                     tokens_ + share * FleetRate(fleet) * elapsed);
  if (FleetDemand(fleet, now) > kNearLimitRatio * limit_.per_second) {
    near_limit_at_ = now;
  }
  if (!share_enforced_ && IsFleetSurge(fleet, now)) {
    EnforceShare(fleet, now);
  } else if (share_enforced_ && now - near_limit_at_ > kBelowLimitTime &&
             fleet_tokens_ > 0) {
    share_enforced_ = false;
    tokens_ = std::max(tokens_, kInitialHostTokensRatio * HostCapacity(share));
  }
}

bool AccountLimiter::TryAcquire(const QuotaInput& fleet, Time now) {
  demand_.Add(1, now);
  Advance(fleet, now);
  if (!share_enforced_ && tokens_ < 1) {
    if (fleet.has_silent_host || IsLocalSurge(now)) {
      EnforceShare(fleet, now);
    } else {
      tokens_ = 1;
    }
  }
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  fleet_tokens_ -= 1;
  admitted_.Add(1, now);
  return true;
}

void AccountLimiter::Release(Time now) {
  tokens_ += 1;
  fleet_tokens_ += 1;
  admitted_.Add(-1, now);
}

Duration AccountLimiter::TimeUntilAvailable(const QuotaInput& fleet,
                                            Time now) const {
  const double missing = 1 - tokens_;
  const double rate = HostShare(fleet) * FleetRate(fleet);
  return missing <= 0 ? Duration::zero()
                      : FromSeconds(missing / rate) - (now - updated_at_);
}

Duration AccountLimiter::MeanInterval(const QuotaInput& fleet) const {
  return FromSeconds(1 / (HostShare(fleet) * limit_.per_second));
}

// The last report before a host fell silent may not have reached that host, and
// that host's own demand may have grown meanwhile. So while a host is silent,
// reports the lowest demand of the time in which the host was still considered
// alive.
AccountUsage AccountLimiter::ReportUsage(bool has_silent_host, Time now) {
  const double demand = demand_.PerSecond(now);
  if (has_silent_host) {
    reported_demand_ = std::min(
        demand,
        *std::min_element(recent_demand_.begin(), recent_demand_.end()));
  } else {
    reported_demand_ = demand;
    recent_demand_[next_recent_demand_++ % recent_demand_.size()] = demand;
  }
  return {demand, reported_demand_, admitted_.PerSecond(now)};
}

bool AccountLimiter::IsIdle(Time now) const {
  constexpr double kNegligiblePerSecond = 1e-3;
  return !share_enforced_ && demand_.PerSecond(now) < kNegligiblePerSecond;
}

}  // namespace pathcleat
