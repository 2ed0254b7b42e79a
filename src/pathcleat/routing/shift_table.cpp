// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/shift_table.hpp"

#include <utility>

namespace pathcleat {
namespace {

ShiftStatus StatusOf(const ShiftControl& gate) {
  return {gate.plan(), gate.current_share(), gate.offered(), gate.moved(),
          gate.last_decision()};
}

}  // namespace

ShiftTable::ShiftTable(std::string own_region)
    : own_region_(std::move(own_region)) {}

void ShiftTable::Sync(const ConfigState& config, Time now) {
  std::erase_if(gates_, [&](const auto& entry) {
    const auto found = config.shifts.find({entry.first, own_region_});
    return found == config.shifts.end() ||
           found->second.id != entry.second.plan().id;
  });
  for (const auto& [key, plan] : config.shifts) {
    if (plan.from_region == own_region_) {
      gates_.try_emplace(plan.service, plan, now);
    }
  }
}

void ShiftTable::Advance(const TargetReader& target,
                         const StepObserver& observer,
                         Time now) {
  for (auto& [service, gate] : gates_) {
    const RampDecision before = gate.last_decision();
    gate.Advance(target(service, gate.plan().to_region), now);
    if (gate.last_decision() != before) {
      observer(StatusOf(gate));
    }
  }
}

ShiftControl* ShiftTable::Find(const std::string& service) {
  const auto found = gates_.find(service);
  return found == gates_.end() ? nullptr : &found->second;
}

std::vector<ShiftStatus> ShiftTable::All() const {
  std::vector<ShiftStatus> all;
  for (const auto& [service, gate] : gates_) {
    all.push_back(StatusOf(gate));
  }
  return all;
}

}  // namespace pathcleat
