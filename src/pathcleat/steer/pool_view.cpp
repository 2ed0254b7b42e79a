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
  const Duration latency = view.load.latency == Duration::zero()
                               ? kUnknownLatency
                               : view.load.latency;
  const double wait = static_cast<double>(latency.count()) * excess / slots;
  return Duration(static_cast<Duration::rep>(wait));
}

double Headroom(const PoolView& view, Time now) {
  if (view.load.slots <= 0) {
    return 0;
  }
  const double used = Backlog(view, now) / view.load.slots;
  return std::clamp(1 - used, 0.0, 1.0);
}

}  // namespace pathcleat
