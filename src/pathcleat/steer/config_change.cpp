// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/config_change.hpp"

namespace pathcleat {
namespace {

constexpr std::uint8_t kMaxPrefixLength = 32;  // IPv4
constexpr double kMaxCap = 1;

class RangeCheck {
 public:
  bool operator()(const StartShift& operation) const {
    const ShiftPlan& plan = operation.plan;
    return plan.cap >= 0 && plan.cap <= kMaxCap &&
           plan.ramp_time >= Duration::zero() && plan.ramp_time <= kMaxRampTime;
  }
  bool operator()(const AssignClientBlock& operation) const {
    return operation.prefix_length <= kMaxPrefixLength;
  }
  bool operator()(const RolloutStep& operation) const {
    return operation.phase <= RolloutPhase::kRolledBack;
  }
  template <class Operation>
  bool operator()(const Operation& /*no numbers with a range*/) const {
    return true;
  }
};

}  // namespace

bool IsInRange(const ConfigOperation& operation) {
  return std::visit(RangeCheck(), operation);
}

}  // namespace pathcleat
