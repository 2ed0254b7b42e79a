// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/warmth.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

constexpr Duration kTarget{400'000};
constexpr WarmthEvidence kSent{true, 0};
constexpr WarmthEvidence kFirst{false, 0};
constexpr WarmthEvidence kThird{false, 2};

// Checked to fail with Count taken out of OnRun.
Test(warmth, chances_are_learned_by_rank) {
  WarmthModel warmth(kTarget);
  for (int i = 0; i < 100; ++i) {
    warmth.OnRun(kFirst, Duration(150'000));
    warmth.OnRun(kThird, Duration(480'000));
  }
  cr_assert_gt(warmth.Probability(kFirst), 0.95);
  cr_assert_lt(warmth.Probability(kThird), 0.05);
  // A changed fleet shows.
  for (int i = 0; i < 100; ++i) {
    warmth.OnRun(kFirst, Duration(480'000));
  }
  cr_assert_lt(warmth.Probability(kFirst), 0.4);
}

// Others' sends make an upstream quick at keys that this host never sent
// there: such runs must not pass for slow ones.
Test(warmth, quick_runs_of_others_keys_leave_the_slow_run_time) {
  WarmthModel warmth(kTarget);
  for (int i = 0; i < 50; ++i) {
    warmth.OnRun(kSent, Duration(150'000));
    warmth.OnRun(kThird, Duration(500'000));
  }
  for (int i = 0; i < 200; ++i) {
    warmth.OnRun(kFirst, Duration(150'000));
  }
  cr_assert_gt(warmth.RunTime(false).count(), 450'000);
}

Test(warmth, run_times_are_found_from_any_first_guess) {
  cr_assert(Holds("the quick run time is found", [] {
    const auto run = Duration(*rc::gen::inRange(5'000, 3'000'000));
    WarmthModel warmth(kTarget);
    for (int i = 0; i < 400; ++i) {
      warmth.OnRun(kSent, run);
    }
    const double ratio = static_cast<double>(warmth.RunTime(true).count()) /
                         static_cast<double>(run.count());
    RC_ASSERT(ratio > 0.9 && ratio < 1.1);
  }));
}

Test(warmth, switched_off_the_first_guesses_stay) {
  WarmthModel warmth(kTarget, false);
  const double before = warmth.Probability(kFirst);
  for (int i = 0; i < 100; ++i) {
    warmth.OnRun(kFirst, Duration(480'000));
  }
  cr_assert_eq(warmth.Probability(kFirst), before);
}

}  // namespace
}  // namespace pathcleat
