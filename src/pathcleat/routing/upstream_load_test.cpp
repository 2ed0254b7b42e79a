// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/upstream_load.hpp"

#include <memory>
#include <vector>

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
  cr_assert_gt(load.ExpectedRequests(now), 8.0);
}

Test(upstream_load, burst_by_others_is_forgotten_soon_and_quiet_ones_wholly) {
  UpstreamLoad load;
  load.OnReport({3, 9, 3}, kStart);
  cr_assert_gt(load.ExpectedRequests(kStart), 5.0);
  cr_assert_lt(load.ExpectedRequests(kStart + 3 * kSecond), 4.0);
  Time now = kStart;
  for (int i = 0; i < 8; ++i) {
    load.OnReport({3, 9, 3}, now);
    now += kSecond;
  }
  cr_assert_lt(load.ExpectedRequests(now + 40 * kSecond), 0.1);
}

// A fleet of hundreds: this host hears of each upstream once in a minute, and
// all of them have standing queues. Seen to fail without SetSharedAverage: what
// was not heard of looked idle, so nothing was refused and all of it waited.
Test(upstream_load, upstream_not_heard_of_counts_as_busy_as_others) {
  const auto average = std::make_shared<AverageLoad>();
  std::vector<UpstreamLoad> heard(30);
  Time now = kStart;
  for (UpstreamLoad& load : heard) {
    load.SetSharedAverage(average);
    load.OnReport({9, 18, 9}, now);
    now += kSecond / 5;
  }
  UpstreamLoad unheard;
  unheard.SetSharedAverage(average);
  cr_assert_gt(unheard.ExpectedRequests(now), 20.0);
  // The load has gone: it is not believed for long.
  cr_assert_lt(unheard.ExpectedRequests(now + 20 * kSecond), 1.0);
  // An upstream's own report counts for more while it is new.
  unheard.OnReport({1, 0, 9}, now);
  unheard.OnReport({1, 0, 9}, now);
  cr_assert_lt(unheard.ExpectedRequests(now), 8.0);
}

Test(upstream_load, single_report_says_little_of_other_upstreams) {
  const auto average = std::make_shared<AverageLoad>();
  UpstreamLoad heard;
  heard.SetSharedAverage(average);
  UpstreamLoad unheard;
  unheard.SetSharedAverage(average);
  heard.OnReport({9, 9, 9}, kStart);
  cr_assert_lt(unheard.ExpectedRequests(kStart), 9.001);
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
      RC_ASSERT(load.ExpectedRequests(later) >= -0.001);
      RC_ASSERT(load.ExpectedRequests(later) <= most + 0.001);
    }
  }));
}

}  // namespace
}  // namespace pathcleat
