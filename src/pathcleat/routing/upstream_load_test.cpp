// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/upstream_load.hpp"

#include <memory>
#include <vector>

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(1'000'000)};
constexpr Duration kSecond{1'000'000};

// A host sends to each upstream about once a second. Guards against reports
// that decay within 0.6 s: the host then takes queues that last for minutes for
// short ones and sends more requests to them.
Test(upstream_load, lasting_queue_by_other_hosts_counts_between_reports) {
  UpstreamLoad load;
  constexpr LoadReport kFull{3, 9, 3};
  Time now = kStart;
  for (int i = 0; i < 8; ++i) {
    load.OnReport(kFull, now);
    now += kSecond;
  }
  cr_assert_gt(load.ExpectedRequests(now), 8.0);
}

Test(upstream_load, burst_by_other_hosts_decays_soon_and_old_reports_wholly) {
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

// With hundreds of hosts, a host gets a report of each upstream about once a
// minute. Guards against upstreams without a report that look idle while all
// have long queues: no request is refused and all wait. Fails without
// SetSharedAverage.
Test(upstream_load, upstream_without_report_counts_as_busy_as_others) {
  const auto average = std::make_shared<AverageLoad>();
  std::vector<UpstreamLoad> reported(30);
  Time now = kStart;
  for (UpstreamLoad& load : reported) {
    load.SetSharedAverage(average);
    load.OnReport({9, 18, 9}, now);
    now += kSecond / 5;
  }
  UpstreamLoad unreported;
  unreported.SetSharedAverage(average);
  cr_assert_gt(unreported.ExpectedRequests(now), 20.0);
  // Without further reports the average decays.
  cr_assert_lt(unreported.ExpectedRequests(now + 20 * kSecond), 1.0);
  // A recent report of the upstream itself outweighs the average.
  unreported.OnReport({1, 0, 9}, now);
  unreported.OnReport({1, 0, 9}, now);
  cr_assert_lt(unreported.ExpectedRequests(now), 8.0);
}

Test(upstream_load, single_report_hardly_raises_other_upstreams) {
  const auto average = std::make_shared<AverageLoad>();
  UpstreamLoad reported;
  reported.SetSharedAverage(average);
  UpstreamLoad unreported;
  unreported.SetSharedAverage(average);
  reported.OnReport({9, 9, 9}, kStart);
  cr_assert_lt(unreported.ExpectedRequests(kStart), 9.001);
}

Test(upstream_load, estimate_stays_between_zero_and_the_highest_report) {
  cr_assert(Holds("any reports", [] {
    UpstreamLoad load;
    Time now = kStart;
    int highest = 0;
    const int count = *rc::gen::inRange(1, 40);
    for (int i = 0; i < count; ++i) {
      now += Duration(*rc::gen::inRange(0, 3'000'000));
      const int running = *rc::gen::inRange(0, 10);
      const int waiting = *rc::gen::inRange(0, 10);
      highest = std::max(highest, running + waiting);
      load.OnReport({running, waiting, 9}, now);
      const Time later = now + Duration(*rc::gen::inRange(0, 5'000'000));
      RC_ASSERT(load.ExpectedRequests(later) >= -0.001);
      RC_ASSERT(load.ExpectedRequests(later) <= highest + 0.001);
    }
  }));
}

}  // namespace
}  // namespace pathcleat
