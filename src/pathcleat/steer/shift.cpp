// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/shift.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

// A target's state older than this is not acted on.
constexpr Duration kOldestState{2'000'000};
// Least free share of the target's slots at which a shift still advances.
constexpr double kLeastHeadroom = 0.15;
// Latency at the target, over that at the shift's start, above which it holds.
constexpr double kMostLatencyRatio = 1.5;
// The pace used when a plan gives no time: the whole cap in one step.
constexpr Duration kShortestShift{1};

}  // namespace

const char* ToString(RampDecision step) {
  switch (step) {
    case RampDecision::kAdvanced:
      return "advanced";
    case RampDecision::kHeldStaleData:
      return "held: the target's state is old";
    case RampDecision::kHeldLowHeadroom:
      return "held: the target's headroom is small";
    case RampDecision::kHeldHighLatency:
      return "held: the target's latency has grown";
    case RampDecision::kAtCap:
      return "at its cap";
  }
  return "held";
}

ShiftControl::ShiftControl(const ShiftPlan& plan, Time now)
    : plan_(plan), last_advance_(now) {}

bool ShiftControl::TryMove() {
  const auto allowed = plan_.cap * static_cast<double>(offered_);
  if (static_cast<double>(moved_ + 1) > allowed) {
    return false;
  }
  ++moved_;
  return true;
}

RampDecision ShiftControl::Advance(const ShiftTargetState& target, Time now) {
  last_step_ = Decide(target, now);
  if (last_step_ == RampDecision::kAdvanced) {
    const Duration over = std::max(plan_.ramp_time, kShortestShift);
    const auto elapsed = static_cast<double>((now - last_advance_).count());
    const double step = plan_.cap * elapsed / static_cast<double>(over.count());
    fraction_ = std::min(plan_.cap, fraction_ + step);
  }
  // Time spent held is not made up for: the pace stays the planned one.
  last_advance_ = now;
  return last_step_;
}

RampDecision ShiftControl::Decide(const ShiftTargetState& target, Time now) {
  if (fraction_ >= plan_.cap) {
    return RampDecision::kAtCap;
  }
  if (target.age > kOldestState || now < last_advance_) {
    return RampDecision::kHeldStaleData;
  }
  if (target.headroom < kLeastHeadroom) {
    return RampDecision::kHeldLowHeadroom;
  }
  if (baseline_latency_ == Duration::zero()) {
    baseline_latency_ = target.latency;
  }
  const double ratio = baseline_latency_ == Duration::zero()
                           ? 1
                           : static_cast<double>(target.latency.count()) /
                                 static_cast<double>(baseline_latency_.count());
  return ratio > kMostLatencyRatio ? RampDecision::kHeldHighLatency
                                   : RampDecision::kAdvanced;
}

}  // namespace pathcleat
