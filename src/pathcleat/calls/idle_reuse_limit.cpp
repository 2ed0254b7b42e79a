// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/idle_reuse_limit.hpp"

#include <algorithm>
#include <cmath>

namespace pathcleat {
namespace {

// A connection may have been forgotten long before it was used: half of its
// rest is trusted, and less after the next one.
constexpr int kPartTrusted = 2;
constexpr Duration kShortest{10'000};
// The limit doubles in this time; incidents seen lasted 5 to 6 s. A new
// connection costs an upstream a millisecond, lost work a caller all of it.
constexpr double kDoublesInMicros = 3'000'000;

}  // namespace

void IdleReuseLimit::OnStaleConnection(Duration rested, Time now) {
  least_ = std::clamp(rested / kPartTrusted, kShortest, MaxIdle(now));
  learned_ = now;
}

Duration IdleReuseLimit::MaxIdle(Time now) const {
  const auto age = static_cast<double>((now - learned_).count());
  const double doublings = std::max(0.0, age) / kDoublesInMicros;
  constexpr double kEnough = 16;
  const double longest = static_cast<double>(least_.count()) *
                         std::exp2(std::min(doublings, kEnough));
  return std::min(kTrusted, Duration(static_cast<Duration::rep>(longest)));
}

}  // namespace pathcleat
