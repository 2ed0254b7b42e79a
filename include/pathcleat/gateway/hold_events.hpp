// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/event_log.hpp"
#include "pathcleat/steer/rollout_step.hpp"

namespace pathcleat {

/// @brief Records an event for each rollout whose hold began or ended.
/// @param before decisions in force before.
/// @param after decisions in force now.
/// @ingroup gateway
void RecordHoldChanges(EventLog& events,
                       const RolloutStates& before,
                       const RolloutStates& after);

}  // namespace pathcleat
