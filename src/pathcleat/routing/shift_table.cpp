// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/shift_table.hpp"

#include <utility>

namespace pathcleat {
namespace {

ShiftStatus StatusOf(const ShiftControl& control) {
  return {control.plan(), control.current_share(), control.offered(),
          control.moved(), control.last_decision()};
}

}  // namespace

ShiftTable::ShiftTable(std::string own_region)
    : own_region_(std::move(own_region)) {}

void ShiftTable::Sync(const ConfigState& config, Time now) {
  std::erase_if(controls_, [&](const auto& entry) {
    const auto found = config.shifts.find({entry.first, own_region_});
    return found == config.shifts.end() ||
           found->second.id != entry.second.plan().id;
  });
  for (const auto& [key, plan] : config.shifts) {
    if (plan.from_region == own_region_) {
      controls_.try_emplace(plan.service, plan, now);
    }
  }
}

void ShiftTable::Advance(const TargetReader& target,
                         const StepObserver& observer,
                         Time now) {
  for (auto& [service, control] : controls_) {
    const RampDecision before = control.last_decision();
    control.Advance(target(service, control.plan().to_region), now);
    if (control.last_decision() != before) {
      observer(StatusOf(control));
    }
  }
}

ShiftControl* ShiftTable::Find(const std::string& service) {
  const auto found = controls_.find(service);
  return found == controls_.end() ? nullptr : &found->second;
}

std::vector<ShiftStatus> ShiftTable::All() const {
  std::vector<ShiftStatus> all;
  for (const auto& [service, control] : controls_) {
    all.push_back(StatusOf(control));
  }
  return all;
}

}  // namespace pathcleat
