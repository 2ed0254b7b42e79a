// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/rollout_hold.hpp"

#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>

#include "pathcleat/core/binary_codec.hpp"
#include "pathcleat/steer/config_change.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

constexpr std::uint64_t kOrder = 7;

RolloutStep StepTo(RolloutPhase phase, std::uint64_t order = kOrder) {
  return {"s", order, "v2", phase, {}};
}

RolloutStates StatesIn(RolloutPhase phase) {
  RolloutStates states;
  Apply(states, StepTo(RolloutPhase::kRunning), {1, 0});
  if (phase != RolloutPhase::kRunning) {
    Apply(states, StepTo(phase), {2, 0});
  }
  return states;
}

// Guards against a promotion or completion by a host that has not received the
// hold yet. Fails without is_held in Apply.
Test(rollout_hold, step_written_after_the_hold_does_not_advance_the_rollout) {
  RolloutStates running = StatesIn(RolloutPhase::kRunning);
  cr_assert(Apply(running, SetRolloutHold{"s", kOrder, true}));
  cr_assert_not(Apply(running, StepTo(RolloutPhase::kPromoted), {3, 0}));
  cr_assert(running["s"].phase == RolloutPhase::kRunning);
  RolloutStates promoted = StatesIn(RolloutPhase::kPromoted);
  cr_assert(Apply(promoted, SetRolloutHold{"s", 0, true}));
  cr_assert_not(Apply(promoted, StepTo(RolloutPhase::kCompleted), {3, 0}));
  cr_assert(Apply(promoted, SetRolloutHold{"s", 0, false}));
  cr_assert(Apply(promoted, StepTo(RolloutPhase::kCompleted), {4, 0}));
}

// Guards against a hold that keeps a bad version in service.
Test(rollout_hold, held_rollout_is_rolled_back) {
  for (const RolloutPhase phase :
       {RolloutPhase::kRunning, RolloutPhase::kPromoted}) {
    RolloutStates states = StatesIn(phase);
    cr_assert(Apply(states, SetRolloutHold{"s", kOrder, true}));
    cr_assert(Apply(states, StepTo(RolloutPhase::kRolledBack), {3, 0}));
  }
}

// Guards against a hold of a finished rollout, of an order that was replaced,
// or of a service without a rollout, and against a hold that outlives its
// order.
Test(rollout_hold, hold_belongs_to_one_order_that_is_not_finished) {
  RolloutStates states = StatesIn(RolloutPhase::kRunning);
  cr_assert_not(Apply(states, SetRolloutHold{"s", kOrder - 1, true}));
  cr_assert_not(Apply(states, SetRolloutHold{"t", 0, true}));
  cr_assert(Apply(states, SetRolloutHold{"s", 0, true}));
  cr_assert(Apply(states, StepTo(RolloutPhase::kRunning, kOrder + 1), {3, 0}));
  cr_assert_not(states["s"].held);
  cr_assert(
      Apply(states, StepTo(RolloutPhase::kRolledBack, kOrder + 1), {4, 0}));
  cr_assert_not(Apply(states, SetRolloutHold{"s", 0, true}));
}

// Guards against rows of the command log that an earlier version of the program
// has written and that can no longer be read, as the position of an operation
// in ConfigOperation identifies it.
Test(rollout_hold, commands_written_before_holds_existed_are_read) {
  using EarlierOperation =
      std::variant<SetUpstreamDrain, SetRegionDrain, StartShift, StopShift,
                   AssignClientBlock, RolloutStep>;
  const std::string row =
      EncodeBinary(EarlierOperation(StepTo(RolloutPhase::kPromoted)));
  const auto operation = DecodeBinary<ConfigOperation>(row);
  cr_assert(operation.has_value());
  const auto* step = std::get_if<RolloutStep>(&*operation);
  cr_assert(step != nullptr && step->phase == RolloutPhase::kPromoted);
}

}  // namespace
}  // namespace pathcleat
