// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>
#include <string>

#include "pathcleat/core/time.hpp"
#include "pathcleat/steer/rollout_step.hpp"

namespace pathcleat {

/// @brief Restricts the next decision on a rollout while the rollout is held:
/// it is neither promoted nor completed. From the cutoff of its phase on, such
/// a decision becomes a rollback, so that a held rollout still ends before its
/// deadline. Other decisions, and decisions on rollouts that are not held, are
/// unchanged.
/// @param step the decision that is due without the hold, if there is one.
/// @param elapsed time since the start of the rollout.
/// @param cutoff time after which the rollout can no longer leave its phase in
/// time for the deadline.
/// @param reason set to the cause of the decision if the hold changes it.
/// @ingroup rollouts
std::optional<RolloutStep> RestrictHeldStep(std::optional<RolloutStep> step,
                                            const RolloutState& state,
                                            Duration elapsed,
                                            Duration cutoff,
                                            std::string& reason);

}  // namespace pathcleat
