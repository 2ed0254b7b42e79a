// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/loop_turns.hpp"

#include <criterion/criterion.h>

namespace pathcleat {
namespace {

// Guards against a long turn that nobody can tell from a slow link: it must be
// reported with the work that it was spent on.
Test(loop_turns, long_turn_is_reported_with_its_task) {
  LoopTurns turns;
  int reported = 0;
  turns.SetOnSlow([&](LoopTask task, Duration duration) {
    cr_assert_eq(task, LoopTask::kConfig);
    cr_assert_eq(duration, kSlowTurn);
    ++reported;
  });
  turns.Add(LoopTask::kRequest, kSlowTurn - Duration(1));
  turns.Add(LoopTask::kConfig, kSlowTurn);
  cr_assert_eq(reported, 1);
  cr_assert_eq(turns.Longest(LoopTask::kConfig), kSlowTurn);
  cr_assert_eq(turns.Longest(LoopTask::kTick), Duration::zero());
  constexpr auto kAll = Histogram::kBucketBounds.size();
  cr_assert_eq(turns.Of(LoopTask::kRequest).CountUpTo(kAll), 1U);
}

Test(loop_turns, time_spent_before_the_timer_counts) {
  LoopTurns turns;
  { const LoopTurnTimer timer(turns, LoopTask::kUpstreamList, kSlowTurn); }
  cr_assert_geq(turns.Longest(LoopTask::kUpstreamList), kSlowTurn);
}

}  // namespace
}  // namespace pathcleat
