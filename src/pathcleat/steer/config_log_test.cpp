// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/config_log.hpp"

#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "property.hpp"

namespace pathcleat {
namespace {

ConfigChange ChangeAt(std::uint64_t version) {
  ConfigChange change;
  change.version = version;
  change.command_id = "command-" + std::to_string(version);
  change.operation = SetUpstreamDrain{"upstream-" + std::to_string(version % 5),
                                      version % 2 == 0};
  return change;
}

std::vector<ConfigChange> Changes(std::uint64_t from, std::uint64_t to) {
  std::vector<ConfigChange> changes;
  for (std::uint64_t version = from; version <= to; ++version) {
    changes.push_back(ChangeAt(version));
  }
  return changes;
}

ConfigState StateAt(std::uint64_t version) {
  ConfigLog log(4);
  log.Apply(Changes(1, version));
  return log.state();
}

bool Same(const ConfigState& a, const ConfigState& b) {
  return a.version == b.version && a.drained_upstreams == b.drained_upstreams;
}

// Promise: an accepted configuration never reverts. Fails if the version check
// in ConfigLog::ReplaceIfNewer or in Apply is removed.
Test(promise, configuration_never_reverts) {
  cr_assert(Holds("any peers, stale, repeated or out of order", [] {
    constexpr std::uint64_t kNewest = 30;
    ConfigLog log(8);
    const auto deliveries =
        *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(1, 31), rc::gen::inRange(0, 10)));
    for (const auto& [first, length] : deliveries) {
      const auto version = static_cast<std::uint64_t>(first);
      const std::uint64_t before = log.version();
      if (length == 0) {
        log.ReplaceIfNewer(StateAt(version));
      } else {
        log.Apply(Changes(version, std::min(kNewest, version + length)));
      }
      RC_ASSERT(log.version() >= before);
      // Hosts at the same version must have the same state, whether they
      // applied single changes or replaced the whole state.
      RC_ASSERT(Same(log.state(), StateAt(log.version())));
    }
  }));
}

Test(config_log, updates_a_lagging_peer_by_kept_changes_or_not_at_all) {
  ConfigLog log(4);
  log.Apply(Changes(1, 10));
  cr_assert(log.CanReplayFrom(6));
  cr_assert_eq(log.ChangesAfter(6, 100).size(), 4U);
  cr_assert_eq(log.ChangesAfter(6, 2).size(), 2U);
  cr_assert(!log.CanReplayFrom(5));
  cr_assert(log.ChangesAfter(5, 100).empty());
  cr_assert(log.ChangesAfter(10, 100).empty());
}

Test(config_state, later_shift_replaces_the_one_out_of_the_same_region) {
  ConfigState state;
  ShiftPlan plan;
  plan.cap = 0.3;
  Apply(state, {1, "a", {}, StartShift{plan}});
  plan.cap = 0.6;
  Apply(state, {2, "b", {}, StartShift{plan}});
  cr_assert_eq(state.shifts.size(), 1U);
  cr_assert_eq(state.shifts.begin()->second.cap, 0.6);
  cr_assert_eq(state.shifts.begin()->second.id, 2U);
  Apply(state, {3, "c", {}, StopShift{plan.service, plan.from_region}});
  cr_assert(state.shifts.empty());
}

StartShift ShiftWith(double cap, Duration ramp_time) {
  StartShift start;
  start.plan.service = "s";
  start.plan.from_region = "north";
  start.plan.to_region = "south";
  start.plan.cap = cap;
  start.plan.ramp_time = ramp_time;
  return start;
}

// Guards against a row of another writer whose numbers make arithmetic of every
// host undefined, and against one such row that keeps out all later commands.
Test(config_log, change_out_of_range_has_no_effect_but_its_version) {
  constexpr Duration kHour = std::chrono::hours(1);
  const double nan = std::numeric_limits<double>::quiet_NaN();
  const std::vector<ConfigOperation> operations = {
      ShiftWith(nan, kHour),
      ShiftWith(1.5, kHour),
      ShiftWith(-0.1, kHour),
      ShiftWith(0.5, Duration::max()),
      ShiftWith(0.5, Duration(-1)),
      AssignClientBlock{0, 33, "north"},
      AssignClientBlock{0, 255, "north"},
      RolloutStep{"s", 1, "v2", static_cast<RolloutPhase>(4), {}}};
  ConfigLog log(100);
  std::uint64_t version = 0;
  for (const ConfigOperation& operation : operations) {
    ConfigChange change = ChangeAt(++version);
    change.operation = operation;
    log.Apply({change});
  }
  cr_assert_eq(log.version(), operations.size());
  cr_assert(log.state().shifts.empty());
  cr_assert(log.state().blocks.empty());
  cr_assert(log.state().rollouts.empty());
  ConfigChange shift = ChangeAt(++version);
  shift.operation = ShiftWith(1, kMaxRampTime);
  log.Apply({shift});
  cr_assert_eq(log.state().shifts.size(), 1U);
}

}  // namespace
}  // namespace pathcleat
