// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/rollout_control.hpp"

#include <algorithm>

#include "pathcleat/rollouts/completion_check.hpp"
#include "pathcleat/rollouts/rollout_hold_filter.hpp"

namespace pathcleat {
namespace {

// An order that a host has not received this long after the decision on it has
// been withdrawn. Twice as long as orders take while the store is disrupted.
constexpr Duration kOrderWait{12'000'000};

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
    if (found != rollouts_.end() && (found->second.order().id > order.id ||
                                     found->second.order() == order)) {
      continue;
    }
    rollouts_.insert_or_assign(order.service,
                               Rollout(order, bounds_, incarnation_));
  }
  SetStates(states_);
}

void RolloutControl::SetStates(const RolloutStates& states) {
  states_ = states;
  for (const auto& [service, state] : states) {
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end() || found->second.order().id < state.order_id) {
      // A host that has not received the order, or that started after the order
      // was withdrawn, follows the decisions on it all the same.
      const RolloutOrder order{service, state.version, {}, state.order_id};
      rollouts_.insert_or_assign(service,
                                 Rollout(order, bounds_, incarnation_));
    }
    Rollout& rollout = rollouts_.at(service);
    if (rollout.order().id == state.order_id) {
      rollout.SetState(state);
    } else {
      rollout.SetEarlierState(state);
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

// Whether to wait for the order of a rollout that is known only by its
// decisions: the order may be on its way.
bool RolloutControl::IsOrderMissing(const Rollout& rollout, Time now) {
  const std::string& service = rollout.order().service;
  if (rollout.order().timeout != Duration::zero()) {
    order_missing_since_.erase(service);
    return false;
  }
  const Time since =
      order_missing_since_.try_emplace(service, now).first->second;
  return now - since < kOrderWait;
}

void RolloutControl::OnDecisionsUnknown(Time now) {
  for (auto& [service, rollout] : rollouts_) {
    rollout.SetOldVersionsUntil(now);
  }
}

// Until the start of a rollout is known, the time is counted from the arrival
// of its order.
Duration RolloutControl::ElapsedSinceStart(const Rollout& rollout,
                                           const RolloutContext& fleet,
                                           Time now) {
  const std::string& service = rollout.order().service;
  if (rollout.state()) {
    order_seen_at_.erase(service);
    return ElapsedBetween(rollout.state()->start_time, fleet.time);
  }
  return now - order_seen_at_.try_emplace(service, now).first->second;
}

std::vector<ProposedStep> RolloutControl::Evaluate(const RolloutContext& fleet,
                                                   Time now) {
  std::vector<ProposedStep> due_steps;
  for (auto& [service, rollout] : rollouts_) {
    const Duration elapsed = ElapsedSinceStart(rollout, fleet, now);
    if (rollout.state() && rollout.state()->IsFinal()) {
      continue;
    }
    rollout.SetOldVersionsUntil(
        now + OldVersionsWithoutNews(rollout.order().timeout) - elapsed);
    rollout.Evaluate(now);
    if (IsOrderMissing(rollout, now)) {
      continue;
    }
    RolloutInput input;
    input.is_order_active = IsOrdered(rollout);
    input.host_count = fleet.host_count;
    input.elapsed = elapsed;
    input.peers = fleet.peers;
    std::string reason;
    auto step = rollout.ProposeStep(input, now, reason);
    if (rollout.state()) {
      const RolloutState& state = *rollout.state();
      step = RestrictHeldStep(std::move(step), state, input.elapsed,
                              rollout.CutoffOf(state.phase), reason);
    }
    if (step) {
      if (step->phase == RolloutPhase::kRolledBack) {
        rollout.SuspendTrial();
      }
      due_steps.push_back({*step, reason});
    }
  }
  return due_steps;
}

}  // namespace pathcleat
