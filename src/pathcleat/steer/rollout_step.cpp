// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/rollout_step.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

bool IsValidTransition(RolloutPhase before, RolloutPhase after) {
  switch (before) {
    case RolloutPhase::kRunning:
      return after == RolloutPhase::kPromoted ||
             after == RolloutPhase::kRolledBack;
    case RolloutPhase::kPromoted:
      return after == RolloutPhase::kCompleted ||
             after == RolloutPhase::kRolledBack;
    case RolloutPhase::kCompleted:
    case RolloutPhase::kRolledBack:
      return false;
  }
  return false;
}

// Versions that serve when an order starts. After an earlier order these are
// the versions that it left in service: not the ones that it replaced, whose
// upstreams may have ended, nor one that was not found good. The listed
// versions count only if there was no earlier order, or if nothing that it left
// in service is listed any more.
std::set<std::string> VersionsServingAt(const RolloutStep& start,
                                        const RolloutState* earlier) {
  const std::set<std::string>& listed = start.replaced_versions;
  if (earlier == nullptr || earlier->ServingVersions().empty()) {
    return listed;
  }
  std::set<std::string> serving = earlier->ServingVersions();
  if (serving == std::set<std::string>{start.version}) {
    return serving;
  }
  serving.erase(start.version);
  const bool is_listed =
      listed.empty() || std::any_of(serving.begin(), serving.end(),
                                    [&listed](const std::string& version) {
                                      return listed.contains(version);
                                    });
  return is_listed ? serving : listed;
}

}  // namespace

const char* ToString(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kRunning:
      return "running";
    case RolloutPhase::kPromoted:
      return "promoted";
    case RolloutPhase::kCompleted:
      return "completed";
    case RolloutPhase::kRolledBack:
      return "rolled_back";
  }
  return "running";
}

bool Apply(RolloutStates& states, const RolloutStep& step, HybridTime time) {
  const auto found = states.find(step.service);
  if (step.phase == RolloutPhase::kRunning) {
    if (found != states.end() && found->second.order_id >= step.order_id) {
      return false;
    }
    const RolloutState* earlier =
        found == states.end() ? nullptr : &found->second;
    RolloutState started;
    started.order_id = step.order_id;
    started.version = step.version;
    started.phase = step.phase;
    started.start_time = time;
    started.replaced_versions = VersionsServingAt(step, earlier);
    states[step.service] = started;
    return true;
  }
  if (found == states.end()) {
    return false;
  }
  RolloutState& state = found->second;
  const bool is_for_order =
      step.order_id == 0 || step.order_id == state.order_id;
  // A host that has not received the hold yet may have written the step.
  const bool is_held = state.held && step.phase != RolloutPhase::kRolledBack;
  if (!is_for_order || is_held || !IsValidTransition(state.phase, step.phase)) {
    return false;
  }
  state.phase = step.phase;
  if (step.phase == RolloutPhase::kPromoted &&
      state.replaced_versions.empty()) {
    state.replaced_versions = step.replaced_versions;
  }
  return true;
}

}  // namespace pathcleat
