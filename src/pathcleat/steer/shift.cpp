// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/shift.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

// A target state older than kMaxStateAge is not used: the shift is held.
constexpr Duration kMaxStateAge{2'000'000};
// Minimum free share of the target's slots at which a shift still advances.
constexpr double kMinHeadroom = 0.15;
// Maximum ratio of the target's latency to its latency at the start of the
// shift. Above this ratio the moved share does not grow.
constexpr double kMaxLatencyRatio = 1.5;
// Ramp time that is used for a plan whose ramp time is 0: the moved share
// reaches the cap in one step.
constexpr Duration kMinRampTime{1};

}  // namespace

const char* ToString(RampDecision decision) {
  switch (decision) {
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
  last_decision_ = Decide(target, now);
  if (last_decision_ == RampDecision::kAdvanced) {
    const Duration ramp_time = std::max(plan_.ramp_time, kMinRampTime);
    const auto elapsed = static_cast<double>((now - last_advance_).count());
    const double step =
        plan_.cap * elapsed / static_cast<double>(ramp_time.count());
    current_share_ = std::min(plan_.cap, current_share_ + step);
  }
  // Time during which the share was not allowed to grow is not made up for, so
  // that the share never grows faster than planned.
  last_advance_ = now;
  return last_decision_;
}

RampDecision ShiftControl::Decide(const ShiftTargetState& target, Time now) {
  if (current_share_ >= plan_.cap) {
    return RampDecision::kAtCap;
  }
  if (target.age > kMaxStateAge || now < last_advance_) {
    return RampDecision::kHeldStaleData;
  }
  if (target.headroom < kMinHeadroom) {
    return RampDecision::kHeldLowHeadroom;
  }
  if (baseline_latency_ == Duration::zero()) {
    baseline_latency_ = target.latency;
  }
  const double ratio = baseline_latency_ == Duration::zero()
                           ? 1
                           : static_cast<double>(target.latency.count()) /
                                 static_cast<double>(baseline_latency_.count());
  return ratio > kMaxLatencyRatio ? RampDecision::kHeldHighLatency
                                  : RampDecision::kAdvanced;
}

}  // namespace pathcleat
