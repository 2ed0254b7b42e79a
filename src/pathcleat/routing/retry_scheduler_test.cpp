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

RetryWindow LateWindow(Duration room, Duration latest) {
  RetryWindow window;
  window.earliest = room;
  window.latest_in_time = Duration(-1);
  window.latest = latest;
  window.spacing = kSpacing;
  return window;
}

Duration Micros(int count) {
  return Duration(count);
}

Test(comeback, latest_return_is_heeded_and_leaves_time_for_the_answer) {
  cr_assert(Holds("a third of what is left, less if the answer takes it", [] {
    const Duration left = Micros(*rc::gen::inRange(0, 10'000'000));
    const Duration service = Micros(*rc::gen::inRange(0, 5'000'000));
    const Duration latest = LatestRetry(left, service);
    RC_ASSERT(latest >= Duration(0));
    RC_ASSERT(latest * 3 <= left);
    RC_ASSERT(latest == Duration(0) || latest + service <= left);
  }));
}

// Checked to fail with `place` in Book taken from window.room alone.
Test(comeback, nobody_is_told_to_come_later_than_is_of_use) {
  cr_assert(Holds("0 <= told <= latest", [] {
    RetryScheduler comeback;
    Time now = kStart;
    const int requests = *rc::gen::inRange(1, 60);
    for (int i = 0; i < requests; ++i) {
      now += Micros(*rc::gen::inRange(0, 100'000));
      RetryWindow window;
      window.earliest = Micros(*rc::gen::inRange(-100'000, 3'000'000));
      window.latest_in_time = Micros(*rc::gen::inRange(-500'000, 1'000'000));
      window.latest = Micros(*rc::gen::inRange(0, 1'000'000));
      window.spacing = Micros(*rc::gen::inRange(0, 200'000));
      const Duration told = comeback.Reserve(window, now);
      RC_ASSERT(told >= Duration(0));
      RC_ASSERT(told <= window.latest);
    }
  }));
}

// Checked to fail with booked_.insert taken out of Book.
Test(comeback, each_gets_a_place_of_its_own_while_there_are_places) {
  cr_assert(Holds("returns are a spacing apart", [] {
    RetryScheduler comeback;
    std::set<Duration> told;
    const Duration room = Micros(*rc::gen::inRange(0, 100'000));
    const Duration latest = room + kSpacing * 19;
    for (int i = 0; i < 20; ++i) {
      const Duration after = comeback.Reserve(LateWindow(room, latest), kStart);
      RC_ASSERT(after >= room);
      RC_ASSERT(std::all_of(told.begin(), told.end(), [&](Duration other) {
        return std::chrono::abs(other - after) >= kSpacing;
      }));
      told.insert(after);
    }
  }));
}

// Checked to fail with kMostHalvings = 1: all the rest came together.
Test(comeback, without_places_left_they_still_do_not_come_together) {
  RetryScheduler comeback;
  std::set<Duration> told;
  constexpr int kPlaces = 10;
  constexpr int kRequests = kPlaces * 8;
  for (int i = 0; i < kRequests; ++i) {
    told.insert(comeback.Reserve(
        LateWindow(Duration(0), kSpacing * (kPlaces - 1)), kStart));
  }
  cr_assert_geq(told.size(), static_cast<std::size_t>(kPlaces * 7));
}

// The earliest places stay for those who can be in time at all. Checked to
// fail with FirstFree in place of LastFree.
Test(comeback, those_who_can_be_in_time_come_first) {
  RetryScheduler comeback;
  RetryWindow late = LateWindow(Duration(100'000), Duration(800'000));
  late.latest_in_time = Duration(50'000);
  RetryWindow early = late;
  early.latest_in_time = Duration(200'000);
  for (int i = 0; i < 10; ++i) {
    cr_assert_gt(comeback.Reserve(late, kStart), early.latest_in_time);
  }
  cr_assert(comeback.Reserve(early, kStart) == Duration(100'000));
  cr_assert(comeback.Reserve(early, kStart) == Duration(150'000));
  cr_assert(comeback.Reserve(early, kStart) == Duration(200'000));
  cr_assert_gt(comeback.Reserve(early, kStart), early.latest_in_time);
}

// Those with the earlier deadline can only use the earlier places; those with
// a later one leave them free. Checked to fail with FirstFree in place of
// LastFree.
Test(comeback, a_later_deadline_leaves_the_place_of_an_earlier_one) {
  RetryScheduler comeback;
  for (int i = 0; i < 4; ++i) {
    comeback.Reserve(LateWindow(Duration(0), Duration(800'000)), kStart);
  }
  const Duration latest{100'000};
  std::set<Duration> told;
  for (int i = 0; i < 3; ++i) {
    told.insert(comeback.Reserve(LateWindow(Duration(0), latest), kStart));
  }
  cr_assert(told == std::set<Duration>(
                        {Duration(0), Duration(50'000), Duration(100'000)}));
}

Test(comeback, without_room_in_time_the_last_useful_moment_is_told) {
  RetryScheduler comeback;
  const Duration latest{700'000};
  cr_assert(comeback.Reserve(LateWindow(Duration(9'000'000), latest), kStart) ==
            latest);
}

// Checked to fail with kMostBooked taken out of Book.
Test(comeback, memory_is_bounded) {
  RetryScheduler comeback;
  constexpr int kRequests = 5'000;
  for (int i = 0; i < kRequests; ++i) {
    comeback.Reserve(LateWindow(Duration(0), Duration(1'000'000)), kStart);
  }
  cr_assert_leq(comeback.reserved_count(), 1'024U);
  comeback.Reserve(LateWindow(Duration(0), Duration(1'000'000)),
                   kStart + Duration(2'000'000));
  cr_assert_eq(comeback.reserved_count(), 1U);
}

}  // namespace
}  // namespace pathcleat
