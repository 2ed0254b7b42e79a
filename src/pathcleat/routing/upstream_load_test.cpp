// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/upstream_load.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(1'000'000)};
constexpr Duration kSecond{1'000'000};

// A host sends to each upstream about once a second; with reports forgotten
// within 0.6 s it took queues that stood for minutes for short ones, and
// fed them (scale-2 of Heathermoor, seeds 21541518962 and 66591448917).
Test(upstream_load,
     queue_that_others_keep_up_is_not_forgotten_between_reports) {
  UpstreamLoad load;
  constexpr LoadReport kFull{3, 9, 3};
  Time now = kStart;
  for (int i = 0; i < 8; ++i) {
    load.OnReport(kFull, now);
    now += kSecond;
  }
  cr_assert_gt(load.Expected(now), 8.0);
}

Test(upstream_load, burst_by_others_is_forgotten_soon_and_quiet_ones_wholly) {
  UpstreamLoad load;
  load.OnReport({3, 9, 3}, kStart);
  cr_assert_gt(load.Expected(kStart), 5.0);
  cr_assert_lt(load.Expected(kStart + 3 * kSecond), 4.0);
  Time now = kStart;
  for (int i = 0; i < 8; ++i) {
    load.OnReport({3, 9, 3}, now);
    now += kSecond;
  }
  cr_assert_lt(load.Expected(now + 40 * kSecond), 0.1);
}

Test(upstream_load, estimate_stays_between_none_and_the_most_reported) {
  cr_assert(Holds("any reports", [] {
    UpstreamLoad load;
    Time now = kStart;
    int most = 0;
    const int count = *rc::gen::inRange(1, 40);
    for (int i = 0; i < count; ++i) {
      now += Duration(*rc::gen::inRange(0, 3'000'000));
      const int running = *rc::gen::inRange(0, 10);
      const int waiting = *rc::gen::inRange(0, 10);
      most = std::max(most, running + waiting);
      load.OnReport({running, waiting, 9}, now);
      const Time later = now + Duration(*rc::gen::inRange(0, 5'000'000));
      RC_ASSERT(load.Expected(later) >= -0.001);
      RC_ASSERT(load.Expected(later) <= most + 0.001);
    }
  }));
}

}  // namespace
}  // namespace pathcleat
