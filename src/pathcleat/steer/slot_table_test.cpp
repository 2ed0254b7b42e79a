// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/slot_table.hpp"

#include <criterion/criterion.h>

namespace pathcleat {
namespace {

constexpr UpstreamIndex kFirst{0};
constexpr ServiceIndex kService{0};
constexpr Duration kLatency{10'000};
const Time kStart{Duration(1'000'000)};

SlotTable OneInstance(int slots) {
  SlotTable table;
  table.Add(kFirst, kService, slots, kStart);
  return table;
}

Test(slot_table, cold_instance_is_filled_step_by_step) {
  SlotTable table = OneInstance(2);
  const auto first = table.Acquire(kService, kStart);
  cr_assert(first.has_value());
  cr_assert(!table.Acquire(kService, kStart).has_value());
  table.Release(*first, SlotUse::kAnswered, kLatency);
  cr_assert(table.Acquire(kService, kStart).has_value());
  cr_assert(table.Acquire(kService, kStart).has_value());
  cr_assert(!table.Acquire(kService, kStart).has_value());
}

Test(slot_table, release_counts_once) {
  SlotTable table = OneInstance(2);
  const auto token = table.Acquire(kService, kStart);
  table.Release(*token, SlotUse::kAnswered, kLatency);
  table.Release(*token, SlotUse::kAnswered, kLatency);
  cr_assert_eq(table.InFlight(kFirst), 0);
}

Test(slot_table, held_slot_is_freed_only_when_its_hold_ends) {
  SlotTable table = OneInstance(1);
  const auto token = table.Acquire(kService, kStart);
  const Time until = kStart + kLatency;
  table.HoldUntil(*token, until);
  table.Expire(until - Duration(1));
  cr_assert(!table.Acquire(kService, until).has_value());
  table.Expire(until);
  cr_assert(table.Acquire(kService, until).has_value());
}

Test(slot_table, leaving_instance_gets_nothing_while_any_source_says_so) {
  SlotTable table = OneInstance(1);
  table.SetLeaving(kFirst, LeavingSource::kOperator, true);
  table.SetLeaving(kFirst, LeavingSource::kHostList, true);
  table.SetLeaving(kFirst, LeavingSource::kOperator, false);
  cr_assert(!table.Acquire(kService, kStart).has_value());
  table.SetLeaving(kFirst, LeavingSource::kHostList, false);
  cr_assert(table.Acquire(kService, kStart).has_value());
}

Test(slot_table, removed_instance_keeps_its_held_slots_counted) {
  SlotTable table = OneInstance(1);
  const auto token = table.Acquire(kService, kStart);
  table.Remove(kFirst);
  cr_assert_eq(table.TotalInFlight(), 1);
  table.Add(kFirst, kService, 1, kStart);
  cr_assert(!table.Acquire(kService, kStart).has_value());
  table.Release(*token, SlotUse::kAnswered, kLatency);
  cr_assert(table.Acquire(kService, kStart).has_value());
}

Test(slot_table, total_limit_bounds_all_instances) {
  SlotTable table = OneInstance(1);
  table.Add(UpstreamIndex{1}, kService, 1, kStart);
  table.SetTotalLimit(1);
  cr_assert(table.Acquire(kService, kStart).has_value());
  cr_assert(!table.Acquire(kService, kStart).has_value());
}

}  // namespace
}  // namespace pathcleat
