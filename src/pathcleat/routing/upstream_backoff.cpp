// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/upstream_backoff.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

// An upstream that asks for more is down for good as far as callers can tell;
// it is tried again once per hour.
constexpr Duration kMaxBackoff = std::chrono::hours(1);
// Hosts return to an upstream spread over this share of the time that it asked
// for, but over no more than kMaxSpread.
constexpr double kSpreadShare = 0.25;
constexpr Duration kMaxSpread{1'000'000};

}  // namespace

bool UpstreamBackoff::Start(Duration delay, double spread, Time now) {
  const Duration asked = std::min(delay, kMaxBackoff);
  const Duration spread_over = std::min(
      kMaxSpread, std::chrono::duration_cast<Duration>(asked * kSpreadShare));
  const Time until =
      now + asked + std::chrono::duration_cast<Duration>(spread_over * spread);
  recovering_ = true;
  if (until <= until_) {
    return false;
  }
  until_ = until;
  return true;
}

bool UpstreamBackoff::OnSent(Time now) {
  const bool is_trial = IsRecovering(now) && !trial_in_flight_;
  trial_in_flight_ = trial_in_flight_ || is_trial;
  return is_trial;
}

void UpstreamBackoff::OnAccepted(Time sent) {
  recovering_ = recovering_ && sent < until_;
}

}  // namespace pathcleat
