// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/warmth.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

constexpr Duration kTarget{400'000};
constexpr WarmthEvidence kSent{true, 0};
constexpr WarmthEvidence kFirst{false, 0};
constexpr WarmthEvidence kThird{false, 2};

// Fails without AddRun in OnRun.
Test(warmth, probabilities_are_learned_by_rank) {
  WarmthModel warmth(kTarget);
  for (int i = 0; i < 100; ++i) {
    warmth.OnRun(kFirst, Duration(150'000));
    warmth.OnRun(kThird, Duration(480'000));
  }
  cr_assert_gt(warmth.Probability(kFirst), 0.95);
  cr_assert_lt(warmth.Probability(kThird), 0.05);
  // A change in the fleet shows within 100 runs.
  for (int i = 0; i < 100; ++i) {
    warmth.OnRun(kFirst, Duration(480'000));
  }
  cr_assert_lt(warmth.Probability(kFirst), 0.4);
}

// Requests of other hosts warm an upstream for keys that this host never sent
// there. Guards against counting such runs as cold.
Test(warmth, warm_runs_of_other_hosts_keys_leave_the_cold_run_time) {
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

Test(warmth, run_times_converge_from_any_initial_estimate) {
  cr_assert(Holds("the warm run time converges", [] {
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

Test(warmth, initial_probabilities_stay_without_learning) {
  WarmthModel warmth(kTarget, false);
  const double before = warmth.Probability(kFirst);
  for (int i = 0; i < 100; ++i) {
    warmth.OnRun(kFirst, Duration(480'000));
  }
  cr_assert_eq(warmth.Probability(kFirst), before);
}

}  // namespace
}  // namespace pathcleat
