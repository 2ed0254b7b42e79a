// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/accounts/account_limiter.hpp"

#include <algorithm>
#include <cmath>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

// Figures named with a trace and a window (the most that one held, of what it
// may hold) are those of pathcleat-lab quotas, seeds 1 and 2, each with only
// that constant changed. The other constants were chosen while the model was
// tried and were not measured beside other values one by one.

// Of what a window may hold beyond the limit, by its share and by its number of
// requests, so much is used up by shares that hosts reckon a moment apart; the
// rest is for requests on their way when a rush begins. Of few requests a
// second, chance alone brings more at once than a limit has.
constexpr double kOverageUsed = 0.1;
constexpr double kSlackUsed = 0.5;
// Of an account's limit so much is shared evenly, and the rest by demand, so
// that a host where the account is new has something. At 1.0 a rush that comes
// to two hosts alone gets 0.67 of the limit in place of all of it.
constexpr double kEvenPart = 0.15;
// A rush: beyond the limit by more than the noise of few requests a second.
constexpr double kRushFactor = 1.1;
constexpr double kRushNoise = 1.5;
// Far enough below the limit, for long enough, to be shared no more.
constexpr double kQuietFactor = 0.9;
constexpr Duration kQuietTime{300'000};
// The limit is shared where less than this part of the fleet's level is left.
constexpr double kLowLevel = 0.4;
// What a host that has just started takes for left: others may have used it up.
constexpr double kFirstLevel = 0.5;
// While nothing is shared a host may hold so many times its share, or so many
// requests where the account is small, and is given more than its share's rate.
constexpr double kLooseShares = 0.7;
constexpr double kLooseRequests = 4;
constexpr double kLooseRate = 1.3;
// Of that it has so much at first.
constexpr double kFirstPart = 0.25;
// A rush at one host: more than this much of what it told, and beyond noise.
constexpr double kLocalRushFactor = 1.7;
constexpr double kLocalRushNoise = 2;
constexpr double kLocalRushLeast = 3.5;  // requests a second
// From a request to where every host reckons with it: a round of heartbeats, a
// round of reports, and the average itself.
constexpr double kToldAfterSeconds = 1.2;
// What is left of the level is used in this time: twice as long as it takes to
// hear of what the others take, so that hosts do not swing together.
constexpr double kLevelSeconds = 2.5;
// So much of the rate is kept back, for what the others take unseen. Without
// it the window of "60% killed in a rush" is 1.04 in place of 0.96.
constexpr double kKeptBackSeconds = 0.3;
// What was taken too much is made up for sooner, within the window: in 2.5 s
// that window is 0.99, and that of "large, rush" 0.945 in place of 0.93.
constexpr double kRepaidSeconds = 1.2;
// Hosts that passed the limit take so much of the rate all the same.
constexpr double kLeastRate = 0.05;
// What a host may save up of its share.
constexpr double kSavedSeconds = 0.5;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  constexpr double kMicros = 1e6;
  constexpr double kLongest = 3'600;
  return Duration(static_cast<Duration::rep>(
      std::min(std::max(0.0, seconds), kLongest) * kMicros));
}

}  // namespace

AccountLimiter::AccountLimiter(const AccountLimit& limit,
                               const QuotaBounds& bounds,
                               std::uint64_t seed)
    : limit_(limit), bounds_(bounds), random_(seed) {}

// What may be taken at once, by all hosts, on top of the rate.
double AccountLimiter::Depth() const {
  const double window = limit_.per_second * Seconds(bounds_.window);
  return limit_.burst +
         kOverageUsed * bounds_.overage * (window + limit_.burst) +
         kSlackUsed * bounds_.slack;
}

void AccountLimiter::SetLimit(const AccountLimit& limit) {
  limit_ = limit;
  level_ = std::min(level_, Depth());
}

double AccountLimiter::HostShare(const QuotaInput& fleet) const {
  const double hosts = std::max(1, fleet.host_count);
  const double weights = fleet.other_usage.share_weight + told_;
  if (weights <= 0) {
    return 1 / hosts;
  }
  const double even = kEvenPart * weights / hosts;
  const double heard = 1 - fleet.never_seen_count / hosts;
  return heard * (told_ + even) / (weights * (1 + kEvenPart));
}

double AccountLimiter::Capacity(double share) const {
  if (shared_) {
    return share * limit_.per_second * kSavedSeconds + 1;
  }
  return std::max(kLooseShares * share * Depth(), kLooseRequests);
}

double AccountLimiter::DemandOfAll(const QuotaInput& fleet, Time now) const {
  return fleet.other_usage.demand + demand_.PerSecond(now);
}

// What all hosts together may take a second now: near the limit the rate, and
// what is left of the level beside, or less where it was passed.
// What silent hosts take now is not known, so nothing is left beside then.
double AccountLimiter::RateOfAll(const QuotaInput& fleet) const {
  if (!shared_) {
    return limit_.per_second * kLooseRate;
  }
  const double left = level_ - unseen_ - limit_.per_second * kKeptBackSeconds;
  const double beside = left < 0                ? left / kRepaidSeconds
                        : fleet.has_silent_host ? 0
                                                : left / kLevelSeconds;
  return std::max(limit_.per_second * kLeastRate, limit_.per_second + beside);
}

bool AccountLimiter::IsRush(const QuotaInput& fleet, Time now) const {
  const double rush = limit_.per_second * kRushFactor +
                      kRushNoise * std::sqrt(limit_.per_second);
  return DemandOfAll(fleet, now) > rush || level_ < kLowLevel * Depth();
}

// Much more comes here than was told. Others may see the same, and will only be
// heard of later.
bool AccountLimiter::IsLocalRush(Time now) const {
  return demand_.PerSecond(now) > told_ * kLocalRushFactor +
                                      kLocalRushNoise * std::sqrt(told_) +
                                      kLocalRushLeast / (1 + told_);
}

// Requests a second beyond the limit, if the others see what this host sees.
double AccountLimiter::BeyondLimit(const QuotaInput& fleet, Time now) const {
  const double own = demand_.PerSecond(now);
  const double growth = told_ < 1 ? 1 : std::max(1.0, own / told_);
  return std::max(0.0,
                  fleet.other_usage.demand * growth + own - limit_.per_second);
}

// Spreads hosts evenly over the part of a request that each may take.
double AccountLimiter::NextFraction() {
  random_ = MixHashes(random_, random_ + 1);
  return ToUnitInterval(random_);
}

void AccountLimiter::Share(const QuotaInput& fleet, Time now) {
  unseen_ = std::min(Depth(), kToldAfterSeconds * BeyondLimit(fleet, now));
  shared_ = true;
  quiet_since_ = now;
  tokens_ = std::min(tokens_, NextFraction());
}

void AccountLimiter::Advance(const QuotaInput& fleet, Time now) {
  const double share = HostShare(fleet);
  if (!started_) {
    started_ = true;
    last_ = now;
    level_ = kFirstLevel * Depth();
    tokens_ = kFirstPart * Capacity(share);
  }
  const double elapsed = std::max(0.0, Seconds(now - last_));
  last_ = std::max(last_, now);
  level_ = std::clamp(
      level_ + (limit_.per_second - fleet.other_usage.admitted) * elapsed,
      -Depth(), Depth());
  unseen_ *= std::exp(-elapsed / kToldAfterSeconds);
  tokens_ =
      std::min(Capacity(share), tokens_ + share * RateOfAll(fleet) * elapsed);
  if (DemandOfAll(fleet, now) > kQuietFactor * limit_.per_second) {
    quiet_since_ = now;
  }
  if (!shared_ && IsRush(fleet, now)) {
    Share(fleet, now);
  } else if (shared_ && now - quiet_since_ > kQuietTime && level_ > 0) {
    shared_ = false;
    tokens_ = std::max(tokens_, kFirstPart * Capacity(share));
  }
}

bool AccountLimiter::TryAcquire(const QuotaInput& fleet, Time now) {
  demand_.Add(1, now);
  Advance(fleet, now);
  if (!shared_ && tokens_ < 1) {
    if (fleet.has_silent_host || IsLocalRush(now)) {
      Share(fleet, now);
    } else {
      tokens_ = 1;
    }
  }
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  level_ -= 1;
  admitted_.Add(1, now);
  return true;
}

void AccountLimiter::Release(Time now) {
  tokens_ += 1;
  level_ += 1;
  admitted_.Add(-1, now);
}

Duration AccountLimiter::TimeUntilAvailable(const QuotaInput& fleet,
                                            Time now) const {
  const double missing = 1 - tokens_;
  const double rate = HostShare(fleet) * RateOfAll(fleet);
  return missing <= 0 ? Duration::zero()
                      : FromSeconds(missing / rate) - (now - last_);
}

Duration AccountLimiter::MeanInterval(const QuotaInput& fleet) const {
  return FromSeconds(1 / (HostShare(fleet) * limit_.per_second));
}

// What was told just before a host fell silent may not have reached it, and
// rose there as well: the lowest of the time in which it was thought alive.
AccountUsage AccountLimiter::ReportUsage(bool has_silent, Time now) {
  const double demand = demand_.PerSecond(now);
  if (has_silent) {
    told_ = std::min(demand, *std::min_element(recent_.begin(), recent_.end()));
  } else {
    told_ = demand;
    recent_[next_recent_++ % recent_.size()] = demand;
  }
  return {demand, told_, admitted_.PerSecond(now)};
}

bool AccountLimiter::IsIdle(Time now) const {
  constexpr double kNothing = 1e-3;
  return !shared_ && demand_.PerSecond(now) < kNothing;
}

}  // namespace pathcleat
