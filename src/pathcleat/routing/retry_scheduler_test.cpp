// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/retry_scheduler.hpp"

#include <algorithm>
#include <set>
#include <vector>

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(1'000'000)};
constexpr Duration kSpacing{50'000};

RetryWindow LateWindow(Duration earliest, Duration latest) {
  RetryWindow window;
  window.earliest = earliest;
  window.latest_in_time = Duration(-1);
  window.latest = latest;
  window.spacing = kSpacing;
  return window;
}

Duration Micros(int count) {
  return Duration(count);
}

Test(retry_scheduler, latest_retry_is_accepted_and_leaves_time_for_the_answer) {
  cr_assert(Holds("a third of the time left, less if the answer needs it", [] {
    const Duration left = Micros(*rc::gen::inRange(0, 10'000'000));
    const Duration service = Micros(*rc::gen::inRange(0, 5'000'000));
    const Duration latest = LatestRetryDelay(left, service);
    RC_ASSERT(latest >= Duration(0));
    RC_ASSERT(latest * 3 <= left);
    RC_ASSERT(latest == Duration(0) || latest + service <= left);
  }));
}

// Fails with `delay` in Reserve taken from window.earliest alone.
Test(retry_scheduler, no_retry_is_later_than_is_of_use_to_its_caller) {
  cr_assert(Holds("0 <= delay <= latest", [] {
    RetryScheduler scheduler;
    Time now = kStart;
    const int requests = *rc::gen::inRange(1, 60);
    for (int i = 0; i < requests; ++i) {
      now += Micros(*rc::gen::inRange(0, 100'000));
      RetryWindow window;
      window.earliest = Micros(*rc::gen::inRange(-100'000, 3'000'000));
      window.latest_in_time = Micros(*rc::gen::inRange(-500'000, 1'000'000));
      window.latest = Micros(*rc::gen::inRange(0, 1'000'000));
      window.spacing = Micros(*rc::gen::inRange(0, 200'000));
      const Duration delay = scheduler.Reserve(window, now);
      RC_ASSERT(delay >= Duration(0));
      RC_ASSERT(delay <= window.latest);
    }
  }));
}

// Fails without reserved_.insert in Reserve.
Test(retry_scheduler, each_retry_gets_a_time_of_its_own_while_times_are_free) {
  cr_assert(Holds("retries are a spacing apart", [] {
    RetryScheduler scheduler;
    std::set<Duration> delays;
    const Duration earliest = Micros(*rc::gen::inRange(0, 100'000));
    const Duration latest = earliest + kSpacing * 19;
    for (int i = 0; i < 20; ++i) {
      const Duration delay =
          scheduler.Reserve(LateWindow(earliest, latest), kStart);
      RC_ASSERT(delay >= earliest);
      RC_ASSERT(std::all_of(delays.begin(), delays.end(), [&](Duration other) {
        return std::chrono::abs(other - delay) >= kSpacing;
      }));
      delays.insert(delay);
    }
  }));
}

// Fails with kMaxSpacings = 1: all further retries arrive together.
Test(retry_scheduler, retries_beyond_the_free_times_do_not_arrive_together) {
  RetryScheduler scheduler;
  std::set<Duration> delays;
  constexpr int kTimes = 10;
  constexpr int kRequests = kTimes * 8;
  for (int i = 0; i < kRequests; ++i) {
    delays.insert(scheduler.Reserve(
        LateWindow(Duration(0), kSpacing * (kTimes - 1)), kStart));
  }
  cr_assert_geq(delays.size(), static_cast<std::size_t>(kTimes * 7));
}

// Guards against late requests that occupy the times at which others would be
// in time. Fails with FirstFree in place of LastFree.
Test(retry_scheduler, early_times_stay_free_for_requests_that_can_be_in_time) {
  RetryScheduler scheduler;
  RetryWindow late = LateWindow(Duration(100'000), Duration(800'000));
  late.latest_in_time = Duration(50'000);
  RetryWindow early = late;
  early.latest_in_time = Duration(200'000);
  for (int i = 0; i < 10; ++i) {
    cr_assert_gt(scheduler.Reserve(late, kStart), early.latest_in_time);
  }
  cr_assert(scheduler.Reserve(early, kStart) == Duration(100'000));
  cr_assert(scheduler.Reserve(early, kStart) == Duration(150'000));
  cr_assert(scheduler.Reserve(early, kStart) == Duration(200'000));
  cr_assert_gt(scheduler.Reserve(early, kStart), early.latest_in_time);
}

// Guards against requests with a later deadline that occupy the early times,
// the only ones that requests with an earlier deadline can use. Fails with
// FirstFree in place of LastFree.
Test(retry_scheduler, later_deadline_leaves_the_times_of_an_earlier_one_free) {
  RetryScheduler scheduler;
  for (int i = 0; i < 4; ++i) {
    scheduler.Reserve(LateWindow(Duration(0), Duration(800'000)), kStart);
  }
  const Duration latest{100'000};
  std::set<Duration> delays;
  for (int i = 0; i < 3; ++i) {
    delays.insert(scheduler.Reserve(LateWindow(Duration(0), latest), kStart));
  }
  cr_assert(delays == std::set<Duration>(
                          {Duration(0), Duration(50'000), Duration(100'000)}));
}

Test(retry_scheduler,
     without_capacity_in_time_the_latest_useful_time_is_given) {
  RetryScheduler scheduler;
  const Duration latest{700'000};
  cr_assert(scheduler.Reserve(LateWindow(Duration(9'000'000), latest),
                              kStart) == latest);
}

// Fails without kMaxReserved in Reserve.
Test(retry_scheduler, memory_is_bounded) {
  RetryScheduler scheduler;
  constexpr int kRequests = 5'000;
  for (int i = 0; i < kRequests; ++i) {
    scheduler.Reserve(LateWindow(Duration(0), Duration(1'000'000)), kStart);
  }
  cr_assert_leq(scheduler.reserved_count(), 1'024U);
  scheduler.Reserve(LateWindow(Duration(0), Duration(1'000'000)),
                    kStart + Duration(2'000'000));
  cr_assert_eq(scheduler.reserved_count(), 1U);
}

}  // namespace
}  // namespace pathcleat
