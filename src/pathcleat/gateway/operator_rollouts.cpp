// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Answers to operators' queries about version rollouts.

#include <sstream>

#include "pathcleat/gateway/operator_service.hpp"
#include "pathcleat/gateway/rollout_report.hpp"

namespace pathcleat {
namespace {

std::string CountsText(const ResponseCounts& responses) {
  return std::to_string(responses.events) + " failed of " +
         std::to_string(responses.total);
}

std::string PhaseText(const Rollout& rollout) {
  return rollout.state() ? ToString(rollout.state()->phase) : "not begun";
}

}  // namespace

std::string OperatorService::ShowRollouts() const {
  std::ostringstream text;
  for (const auto& [service, rollout] : state_.rollouts.All()) {
    const RolloutTally& fleet = rollout.evaluated_tally();
    const StratumCounts total = fleet.Total();
    text << service << " to " << rollout.order().version << ": "
         << PhaseText(rollout) << "; answers of all hosts, as told within the "
         << "last second: " << CountsText(total.new_version)
         << " at the new version, " << CountsText(total.other_versions)
         << " at others; tried here "
         << rollout.canary_limiter().new_version_sent() << " of "
         << rollout.canary_limiter().sent() << " requests; under way at others "
         << fleet.other_versions_in_flight << "\n";
  }
  const std::string rollouts = text.str();
  return rollouts.empty() ? "no rollout was ordered\n" : rollouts;
}

std::string OperatorService::Answer(const RolloutsQuery&) const {
  return SummarizeRollouts(state_,
                           {commands_.state(), WallMicros(), BootClock::now()});
}

std::string OperatorService::Answer(const RolloutQuery& query) const {
  return DescribeRollout(state_,
                         {commands_.state(), WallMicros(), BootClock::now()},
                         query.service);
}

// A hold names the order that it is meant for, so that it never applies to a
// later order.
Result<ConfigOperation> OperatorService::BindToOrder(
    const ConfigOperation& operation) const {
  const auto* hold = std::get_if<SetRolloutHold>(&operation);
  if (hold == nullptr) {
    return operation;
  }
  const RolloutStates& rollouts = commands_.state().rollouts;
  const auto found = rollouts.find(hold->service);
  if (found == rollouts.end() || found->second.IsFinal()) {
    return Fail({ErrorCode::kInvalid, "read command", "operator",
                 "no rollout of " + hold->service + " is under way"});
  }
  if (found->second.held == hold->held) {
    return Fail({ErrorCode::kInvalid, "read command", "operator",
                 "the rollout of " + hold->service +
                     (hold->held ? " is held already" : " is not held")});
  }
  SetRolloutHold bound = *hold;
  bound.order_id = found->second.order_id;
  return ConfigOperation(bound);
}

}  // namespace pathcleat
