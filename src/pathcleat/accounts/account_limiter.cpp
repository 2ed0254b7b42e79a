// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/accounts/account_limiter.hpp"

#include <algorithm>
#include <cmath>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

// The reasons for some constants below name a scenario of pathcleat-lab quotas
// and a window ratio: the number of requests in the window with the most
// requests, divided by the number that a window may have.

// Parts of QuotaBounds::overage and QuotaBounds::slack that are added to the
// fleet's capacity. They are used up because hosts compute their shares at
// slightly different times. The rest of overage and slack is left for requests
// that are in flight when a surge begins. The part of the slack is large
// because at a few requests a second random variation alone exceeds the limit
// at times.
constexpr double kUsedOverageRatio = 0.1;
constexpr double kUsedSlackRatio = 0.5;
// Shares have a part that is proportional to demand and a part that is equal
// for all hosts, so that a host where the account is new gets a share above 0.
// This is the ratio of the equal part to the proportional part. With a ratio of
// 1.0, a surge at only two hosts is admitted at 0.67 of the limit instead of
// the whole limit.
constexpr double kEqualShareRatio = 0.15;
// A fleet surge: the demand at all hosts exceeds kSurgeFactor times the limit's
// rate plus kSurgeNoise times the square root of that rate. The square root
// allows for random variation at a few requests a second.
constexpr double kSurgeFactor = 1.1;
constexpr double kSurgeNoise = 1.5;
// Shares are no longer enforced when the demand has stayed below
// kNearLimitRatio of the limit for kBelowLimitTime.
constexpr double kNearLimitRatio = 0.9;
constexpr Duration kBelowLimitTime{300'000};
// Shares are enforced when less than this part of the fleet's tokens is left.
constexpr double kLowTokensRatio = 0.4;
// Part of the fleet's tokens assumed to be left when a host starts: the other
// hosts may have used up the rest.
constexpr double kInitialFleetTokensRatio = 0.5;
// While shares are not enforced, a host's token capacity is
// kUnenforcedCapacityRatio times its share of the fleet's capacity, but at
// least kUnenforcedMinRequests. Its tokens refill at kUnenforcedRateFactor
// times its share of the limit's rate.
constexpr double kUnenforcedCapacityRatio = 0.7;
constexpr double kUnenforcedMinRequests = 4;
constexpr double kUnenforcedRateFactor = 1.3;
// Part of the host's token capacity that is available when the host starts.
// When the host no longer enforces shares, at least this part is available.
constexpr double kInitialHostTokensRatio = 0.25;
// A local surge: with r as the last reported demand in requests a second, the
// demand at this host exceeds kLocalSurgeFactor * r, plus kLocalSurgeNoise *
// sqrt(r) for random variation, plus kLocalSurgeMinPerSecond / (1 + r), which
// matters only if r is small.
constexpr double kLocalSurgeFactor = 1.7;
constexpr double kLocalSurgeNoise = 2;
constexpr double kLocalSurgeMinPerSecond = 3.5;
// Time until every host has included a request in its figures: a heartbeat
// interval, a report interval, and the averaging time.
constexpr double kReportDelaySeconds = 1.2;
// Time in which the tokens left are to be used up. It is about twice
// kReportDelaySeconds, so that the hosts' rates do not oscillate together.
constexpr double kSpendSeconds = 2.5;
// Tokens kept in reserve for use by other hosts that is not reported yet, as
// the number of seconds in which the limit's rate adds as many tokens. Without
// the reserve the window ratio of "60% killed in a rush" is 1.04 instead of
// 0.96.
constexpr double kReserveSeconds = 0.3;
// Time in which the fleet makes up for tokens used in excess (an overdraft). It
// must be shorter than the window. With 2.5 s the window ratio of "60% killed
// in a rush" is 0.99, and the ratio of "large, rush" is 0.945 instead of 0.93.
constexpr double kRepaySeconds = 1.2;
// Part of the limit's rate that hosts may always admit, also while they make up
// for an overdraft.
constexpr double kMinRateRatio = 0.05;
// Unused tokens that a host may keep while shares are enforced, as the number
// of seconds in which its share of the limit's rate adds as many tokens.
constexpr double kMaxSavedSeconds = 0.5;

// Requests a second for each host below which shares are probabilities.
constexpr double kSparsePerHost = 1;
// Part of the limit's rate that is admitted by probability while a host is
// silent. Each part of a partitioned fleet may have used the whole burst before
// it enforced shares. With 1.0 the window ratio of "middle, rush in a cut" is
// 1.17.
constexpr double kSilentRateRatio = 0.6;

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

// Whether the demand at this host is far above its last report. Other hosts may
// have the same surge, but their reports arrive only later.
bool AccountLimiter::IsLocalSurge(Time now) const {
  return demand_.PerSecond(now) >
         reported_demand_ * kLocalSurgeFactor +
             kLocalSurgeNoise * std::sqrt(reported_demand_) +
             kLocalSurgeMinPerSecond / (1 + reported_demand_);
}

// Requests a second in excess of the limit, on the assumption that the demand
// at the other hosts has grown by the same factor as at this host.
double AccountLimiter::ExcessDemand(const QuotaInput& fleet, Time now) const {
  const double own = demand_.PerSecond(now);
  const double growth =
      reported_demand_ < 1 ? 1 : std::max(1.0, own / reported_demand_);
  return std::max(0.0,
                  fleet.other_usage.demand * growth + own - limit_.per_second);
}

// Pseudo-random fraction in [0, 1). It differs between hosts, so that hosts
// with a share of less than one request each do not all admit a request at the
// same time.
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

// Whether the limit's rate is too low for a share by tokens at each host.
bool AccountLimiter::IsSparse(const QuotaInput& fleet) const {
  return share_enforced_ &&
         limit_.per_second < kSparsePerHost * fleet.host_count;
}

// The probability with which this host admits a request. While a host is
// silent, the hosts that hear each other share a part of the rate that is
// proportional to their number. So the parts of a partitioned fleet add up to
// the rate, whatever their demands.
double AccountLimiter::AdmitProbability(const QuotaInput& fleet,
                                        Time now) const {
  if (!fleet.has_silent_host) {
    return FleetRate(fleet) / FleetDemand(fleet, now);
  }
  const double alive_ratio = static_cast<double>(fleet.alive_count) /
                             std::max(fleet.host_count, fleet.alive_count);
  return kSilentRateRatio * FleetRate(fleet) * alive_ratio /
         (fleet.heard_demand + demand_.PerSecond(now));
}

bool AccountLimiter::TakeToken(const QuotaInput& fleet, Time now) {
  if (IsSparse(fleet)) {
    tokens_ = std::max(0.0, tokens_ - 1);
    return NextRandomFraction() < AdmitProbability(fleet, now);
  }
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
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
  if (!TakeToken(fleet, now)) {
    return false;
  }
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

// A host that sends no reports may not have received this host's last report
// either, and the demand at the silent host may have grown meanwhile. So while
// a host is silent, this host reports the lowest demand of the time in which
// the silent host was still considered alive.
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
