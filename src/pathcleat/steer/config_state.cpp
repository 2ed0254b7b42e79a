// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/config_state.hpp"

namespace pathcleat {
namespace {

template <class Item>
void SetMembership(std::set<Item>& set, const Item& item, bool present) {
  if (present) {
    set.insert(item);
  } else {
    set.erase(item);
  }
}

class Applier {
 public:
  Applier(ConfigState& state, HybridTime time) : state_(state), time_(time) {}

  void operator()(const SetUpstreamDrain& operation) const {
    SetMembership(state_.drained_upstreams, operation.upstream,
                  operation.drained);
  }
  void operator()(const SetRegionDrain& operation) const {
    SetMembership(state_.drained_regions, operation.region, operation.drained);
  }
  void operator()(const StartShift& operation) const {
    const ShiftPlan& plan = operation.plan;
    ShiftPlan& kept = state_.shifts[{plan.service, plan.from_region}];
    kept = plan;
    kept.id = state_.version;
  }
  void operator()(const StopShift& operation) const {
    state_.shifts.erase({operation.service, operation.from_region});
  }
  void operator()(const AssignClientBlock& operation) const {
    std::erase_if(state_.blocks, [&operation](const AssignClientBlock& block) {
      return block.first_address == operation.first_address &&
             block.prefix_length == operation.prefix_length;
    });
    state_.blocks.push_back(operation);
  }
  void operator()(const RolloutStep& operation) const {
    if (pathcleat::Apply(state_.rollouts, operation, time_)) {
      state_.rollouts[operation.service].log_version = state_.version;
    }
  }
  void operator()(const SetRolloutHold& operation) const {
    pathcleat::Apply(state_.rollouts, operation);
  }

 private:
  ConfigState& state_;
  HybridTime time_;
};

}  // namespace

bool Apply(ConfigState& state, const ConfigChange& change) {
  if (change.version != state.version + 1) {
    return false;
  }
  state.version = change.version;
  if (!IsInRange(change.operation)) {
    return true;
  }
  std::visit(Applier(state, change.time), change.operation);
  return true;
}

}  // namespace pathcleat
