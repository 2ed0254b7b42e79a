// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/rollout_control.hpp"

#include <algorithm>

#include "pathcleat/rollouts/rollout_hold_filter.hpp"

namespace pathcleat {
namespace {

RolloutTally TallyIn(const RolloutTallies& tallies,
                     const std::string& service) {
  const auto found = tallies.find(service);
  return found == tallies.end() ? RolloutTally() : found->second;
}

Duration ElapsedBetween(HybridTime from, HybridTime until) {
  return Duration(until.micros > from.micros ? until.micros - from.micros : 0);
}

}  // namespace

void RolloutControl::SetOrders(const std::vector<RolloutOrder>& orders) {
  orders_ = orders;
  for (const RolloutOrder& order : orders) {
    const auto found = rollouts_.find(order.service);
    if (found != rollouts_.end() && found->second.order().id >= order.id) {
      continue;
    }
    rollouts_.insert_or_assign(order.service,
                               Rollout(order, bounds_, incarnation_));
  }
  SetStates(states_);
}

void RolloutControl::SetStates(const RolloutStates& states) {
  states_ = states;
  for (auto& [service, rollout] : rollouts_) {
    const auto state = states.find(service);
    if (state != states.end() && state->second.order_id == rollout.order().id) {
      rollout.SetState(state->second);
    }
  }
}

Rollout* RolloutControl::Find(const std::string& service) {
  const auto found = rollouts_.find(service);
  return found == rollouts_.end() ? nullptr : &found->second;
}

RolloutTallies RolloutControl::OwnTallies() const {
  RolloutTallies tallies;
  for (const auto& [service, rollout] : rollouts_) {
    if (rollout.state() && !rollout.state()->IsFinal()) {
      tallies[service] = rollout.OwnTally();
    }
  }
  return tallies;
}

RolloutTallies RolloutControl::DomainTallies(Time now) const {
  RolloutTallies tallies;
  for (const auto& [service, rollout] : rollouts_) {
    if (rollout.state() && !rollout.state()->IsFinal()) {
      tallies[service] = rollout.tally_table().DomainTally(now);
    }
  }
  return tallies;
}

void RolloutControl::OnHostTallies(std::uint64_t incarnation,
                                   const RolloutTallies& tallies,
                                   Time now) {
  for (auto& [service, rollout] : rollouts_) {
    rollout.tally_table().OnHostTally(incarnation, TallyIn(tallies, service),
                                      now);
  }
}

void RolloutControl::OnDomainTallies(const std::string& domain,
                                     const RolloutTallies& tallies,
                                     Time now) {
  for (auto& [service, rollout] : rollouts_) {
    const RolloutTally tally = TallyIn(tallies, service);
    if (domain == domain_) {
      rollout.tally_table().OnOwnDomainTally(tally, now);
    } else {
      rollout.tally_table().OnDomainTally(domain, tally, now);
    }
  }
}

bool RolloutControl::IsOrdered(const Rollout& rollout) const {
  return std::any_of(orders_.begin(), orders_.end(),
                     [&rollout](const RolloutOrder& order) {
                       return order == rollout.order();
                     });
}

std::vector<ProposedStep> RolloutControl::Evaluate(const RolloutContext& fleet,
                                                   Time now) {
  std::vector<ProposedStep> due_steps;
  for (auto& [service, rollout] : rollouts_) {
    if (rollout.state() && rollout.state()->IsFinal()) {
      continue;
    }
    rollout.Evaluate(now);
    RolloutInput input;
    input.is_order_active = IsOrdered(rollout);
    input.host_count = fleet.host_count;
    if (rollout.state()) {
      input.elapsed = ElapsedBetween(rollout.state()->start_time, fleet.time);
    }
    std::string reason;
    auto step = rollout.ProposeStep(input, now, reason);
    if (rollout.state()) {
      const RolloutState& state = *rollout.state();
      step = RestrictHeldStep(std::move(step), state, input.elapsed,
                              rollout.CutoffOf(state.phase), reason);
    }
    if (step) {
      due_steps.push_back({*step, reason});
    }
  }
  return due_steps;
}

}  // namespace pathcleat
