// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/slowness.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(1'000'000)};

// Guards against an upstream that stays the first choice while all its requests
// time out, because only answers raise its slowness. Fails without OnNoAnswer.
Test(slowness, missing_answers_raise_it) {
  Slowness slowness;
  for (int i = 0; i < 4; ++i) {
    slowness.OnNoAnswer(6, kStart);
  }
  cr_assert_gt(slowness.Value(kStart), 3);
  // A wait shorter than the expected run time does not lower the estimate.
  const double before = slowness.Value(kStart);
  slowness.OnNoAnswer(1.5, kStart);
  cr_assert_eq(slowness.Value(kStart), before);
}

Test(slowness, decays_without_new_samples) {
  Slowness slowness;
  for (int i = 0; i < 20; ++i) {
    slowness.OnRun(8, kStart);
  }
  cr_assert_gt(slowness.Value(kStart), 7);
  cr_assert_lt(slowness.Value(kStart + Duration(40'000'000)), 1.1);
}

Test(slowness, stays_within_bounds) {
  cr_assert(Holds("between 0.8 and 8", [] {
    Slowness slowness;
    Time now = kStart;
    const auto ratios =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000'000));
    for (const int ratio : ratios) {
      now += Duration(10'000);
      slowness.OnRun(ratio / 1'000.0, now);
      RC_ASSERT(slowness.Value(now) >= 0.8 && slowness.Value(now) <= 8);
    }
  }));
}

}  // namespace
}  // namespace pathcleat
