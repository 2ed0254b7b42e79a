// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>

#include "pathcleat/steer/rollout_step.hpp"

namespace pathcleat {

/// @brief Holds a service's rollout or ends its hold. A held rollout keeps the
/// share of requests that it has; it is neither promoted nor completed, but it
/// can still be rolled back.
/// @ingroup steer
struct SetRolloutHold {
  std::string service;
  std::uint64_t order_id =
      0;  ///< order that the hold belongs to; 0: the current order
  bool held = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, order_id, held);
  }
};

/// @brief Holds a rollout or ends its hold, unless the rollout is finished or
/// belongs to another order.
/// @return whether the operation was applied.
/// @ingroup steer
bool Apply(RolloutStates& states, const SetRolloutHold& hold);

}  // namespace pathcleat
