// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/pool_view.hpp"

#include <algorithm>
#include <cmath>

namespace pathcleat {
namespace {

// A report's weight halves with each of these.
constexpr double kHalfLifeSeconds = 1.0;
// Latency assumed of a pool that has answered nothing yet.
constexpr Duration kUnknownLatency{50'000};

// Weight of the own wait, for the waits it causes.
constexpr double kWaitWeight = 2;
// Used share of the slots from which a pool counts as crowded, and the cost
// of a full one in its typical latencies.
constexpr double kCrowdedFrom = 0.8;
constexpr double kCrowdedLatencies = 1;

Duration LatencyOf(const PoolView& view) {
  return view.load.latency == Duration::zero() ? kUnknownLatency
                                               : view.load.latency;
}

double WeightOf(const PoolView& view, Time now) {
  const double age = std::chrono::duration<double>(now - view.observed).count();
  return std::exp2(-std::max(0.0, age) / kHalfLifeSeconds);
}

// Work believed to be at the pool: running and waiting.
double Backlog(const PoolView& view, Time now) {
  const double weight = WeightOf(view, now);
  const int reported = view.load.slots - view.load.free + view.load.waiting;
  const double believed = reported + view.sent_since;
  return weight * believed + (1 - weight) * view.in_flight;
}

}  // namespace

Duration ExpectedWait(const PoolView& view, Time now) {
  const int slots = std::max(1, view.load.slots);
  const double excess = Backlog(view, now) + 1 - slots;
  if (excess <= 0) {
    return Duration::zero();
  }
  const double wait =
      static_cast<double>(LatencyOf(view).count()) * excess / slots;
  return Duration(static_cast<Duration::rep>(wait));
}

Duration CrowdingCost(const PoolView& view, Time now) {
  const double wait =
      static_cast<double>(ExpectedWait(view, now).count()) * kWaitWeight;
  const double used = 1 - Headroom(view, now);
  const double crowded =
      std::max(0.0, used - kCrowdedFrom) / (1 - kCrowdedFrom);
  const double latency = static_cast<double>(LatencyOf(view).count());
  return Duration(static_cast<Duration::rep>(
      wait + crowded * crowded * latency * kCrowdedLatencies));
}

double Headroom(const PoolView& view, Time now) {
  if (view.load.slots <= 0) {
    return 0;
  }
  const double used = Backlog(view, now) / view.load.slots;
  return std::clamp(1 - used, 0.0, 1.0);
}

}  // namespace pathcleat
