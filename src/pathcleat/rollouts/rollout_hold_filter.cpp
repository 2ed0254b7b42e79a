// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/rollout_hold_filter.hpp"

namespace pathcleat {

std::optional<RolloutStep> RestrictHeldStep(std::optional<RolloutStep> step,
                                            const RolloutState& state,
                                            Duration elapsed,
                                            Duration cutoff,
                                            std::string& reason) {
  const bool advances = step && (step->phase == RolloutPhase::kPromoted ||
                                 step->phase == RolloutPhase::kCompleted);
  if (!state.IsHeld() || !advances) {
    return step;
  }
  if (elapsed < cutoff) {
    return std::nullopt;
  }
  reason = "held beyond the time by which it could still be completed";
  step->phase = RolloutPhase::kRolledBack;
  step->replaced_versions.clear();
  return step;
}

}  // namespace pathcleat
