// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/load_step_control.hpp"

#include <algorithm>
#include <array>

namespace pathcleat {
namespace {

constexpr std::array<double, kMaxLoadStep + 1> kShares = {1, 0.7, 0.5, 0.35};
// Above this utilization requests wait noticeably for the processor.
constexpr double kHighUtilization = 0.85;
// The utilization must stay high for this long, as the work of a start or of a
// large change of the configuration does not last.
constexpr Duration kHighDelay{3'000'000};
// A host takes callers back only if its utilization would stay below this after
// they are back. The difference to kHighUtilization covers errors of that
// estimate, so that a constant demand causes no cycle.
constexpr double kReturnUtilization = 0.75;
// Time until a step shows in the utilization: reports take up to 2 s, most
// callers keep an answer for 2 s and some for 6 s, and the utilization is an
// average over 2 s.
constexpr Duration kEffectDelay{10'000'000};
// Callers come back only after the utilization was low for this long. Demand
// may swing with a period of 36 s; a shorter time would follow each swing.
constexpr Duration kReturnDelay{40'000'000};

}  // namespace

double LoadShare(std::uint8_t step) {
  return kShares.at(std::min(step, kMaxLoadStep));
}

void LoadStepControl::MoveTo(std::uint8_t step, Time now) {
  step_ = step;
  changed_ = now;
  last_above_return_ = now;
}

std::uint8_t LoadStepControl::Update(double utilization, Time now) {
  if (utilization >= kHighUtilization) {
    last_above_return_ = now;
    high_since_ = high_since_.value_or(now);
    const bool settled = !changed_ || now - *changed_ >= kEffectDelay;
    if (settled && now - *high_since_ >= kHighDelay && step_ < kMaxLoadStep) {
      MoveTo(step_ + 1, now);
    }
    return step_;
  }
  high_since_.reset();
  if (step_ == 0) {
    return step_;
  }
  const auto lower = static_cast<std::uint8_t>(step_ - 1);
  if (utilization * LoadShare(lower) / LoadShare(step_) > kReturnUtilization) {
    last_above_return_ = now;
  }
  if (now - last_above_return_ >= kReturnDelay) {
    MoveTo(lower, now);
  }
  return step_;
}

}  // namespace pathcleat
