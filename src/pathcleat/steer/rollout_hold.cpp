// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/rollout_hold.hpp"

namespace pathcleat {

bool Apply(RolloutStates& states, const SetRolloutHold& hold) {
  const auto found = states.find(hold.service);
  if (found == states.end()) {
    return false;
  }
  RolloutState& state = found->second;
  const bool is_for_order =
      hold.order_id == 0 || hold.order_id == state.order_id;
  if (!is_for_order || state.IsFinal()) {
    return false;
  }
  state.held = hold.held;
  return true;
}

}  // namespace pathcleat
