// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/upstream_limit.hpp"

#include <algorithm>
#include <cmath>

namespace pathcleat {
namespace {

// An answer ends a limit if its request was sent so much later than the limit
// was last named: the ages that hosts tell each other are a little off, and an
// upstream may leave the field out of some answers.
constexpr Duration kEndsAfter{1'000'000};
constexpr Duration kAskedAfter{3'000'000};
// Without an answer a limit holds as named for so long, then is doubled each
// time that this has passed: longer than most requests run.
constexpr Duration kHoldsFor{10'000'000};
constexpr Duration kDoublesEvery{5'000'000};
// An upstream that takes nothing is asked now and then whether that still
// holds.
constexpr double kLeastPerSecond = 0.1;

}  // namespace

bool UpstreamLimit::Update(const LimitObservation& sign) {
  const bool ends = sign_ && sign_->per_second && !sign.per_second;
  if (sign_ && sign.observed_at <= sign_->observed_at +
                                       (ends ? kEndsAfter : Duration::zero())) {
    return false;
  }
  sign_ = std::make_shared<const LimitObservation>(sign);
  return true;
}

double UpstreamLimit::PerSecond(Time now) const {
  if (!sign_) {
    return capacity_;
  }
  const double named = std::max(kLeastPerSecond, sign_->per_second.value_or(0));
  const Duration overdue = now - sign_->observed_at - kHoldsFor;
  const double doublings =
      std::max(0.0, std::chrono::duration<double>(overdue) / kDoublesEvery);
  return named * std::exp2(doublings);
}

bool UpstreamLimit::ShouldProbe(Time now) const {
  return IsInForce(now) && now - sign_->observed_at > kAskedAfter;
}

bool UpstreamLimit::IsInForce(Time now) const {
  return sign_ && sign_->per_second && PerSecond(now) < capacity_;
}

}  // namespace pathcleat
