// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/idle_reuse_limit.hpp"

#include <algorithm>
#include <cmath>

namespace pathcleat {
namespace {

// An upstream may have dropped a connection long before the connection is
// reused. So the limit is set to half of the idle time, and is lowered again
// after the next stale connection.
constexpr int kLimitDivisor = 2;
constexpr Duration kMinLimit{10'000};
// The limit doubles within this time, as incidents in which upstreams drop idle
// connections last 5 to 6 s. A new connection costs an upstream a millisecond;
// a lost request costs its caller the result of the whole run.
constexpr double kDoublingTimeMicros = 3'000'000;

}  // namespace

void IdleReuseLimit::OnStaleConnection(Duration idle_time, Time now) {
  limit_ = std::clamp(idle_time / kLimitDivisor, kMinLimit, MaxIdle(now));
  updated_at_ = now;
}

Duration IdleReuseLimit::MaxIdle(Time now) const {
  const auto age = static_cast<double>((now - updated_at_).count());
  const double doublings = std::max(0.0, age) / kDoublingTimeMicros;
  constexpr double kMaxDoublings = 16;
  const double limit = static_cast<double>(limit_.count()) *
                       std::exp2(std::min(doublings, kMaxDoublings));
  return std::min(kMaxLimit, Duration(static_cast<Duration::rep>(limit)));
}

}  // namespace pathcleat
