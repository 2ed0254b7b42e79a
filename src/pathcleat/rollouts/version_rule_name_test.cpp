// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/version_rule_name.hpp"

#include "pathcleat/rollouts/rollout.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

constexpr std::uint64_t kOrder = 5;

RolloutState StateIn(RolloutPhase phase) {
  RolloutState state;
  state.order_id = kOrder;
  state.version = "v2";
  state.phase = phase;
  state.replaced_versions = {"v1"};
  return state;
}

// Guards against a log that names another rule than the one that chose a
// version, in each phase and also after a state was set again.
Test(version_rule_name, names_follow_the_rules_of_a_rollout) {
  Rollout rollout({"s", "v2", Duration(12'000'000), kOrder},
                  RolloutBounds{0.5, 50, Duration(5'000'000)}, 1);
  const auto name = [&](bool is_first_attempt) {
    return std::string(NameOf(rollout.RuleFor(is_first_attempt).get(), "v2"));
  };
  rollout.SetLocalState({"v1", "v2"}, 0);
  cr_assert(name(true) == "other_versions");
  rollout.SetState(StateIn(RolloutPhase::kRunning));
  constexpr int kSent = 10;
  for (int i = 0; i < kSent; ++i) {
    rollout.OnSent("v1");
  }
  cr_assert(name(true) == "canary");
  cr_assert(name(false) == "other_versions");
  for (const RolloutPhase phase :
       {RolloutPhase::kPromoted, RolloutPhase::kCompleted}) {
    rollout.SetState(StateIn(phase));
    cr_assert(name(true) == "promoted");
  }
  rollout.SetState(StateIn(RolloutPhase::kRolledBack));
  cr_assert(name(true) == "other_versions");
  rollout.SetLocalState({"v1"}, 0);
  cr_assert(name(true) == "other_versions");
  rollout.SetLocalState({"v2"}, 0);
  cr_assert(name(true) == "only_version");
}

}  // namespace
}  // namespace pathcleat
