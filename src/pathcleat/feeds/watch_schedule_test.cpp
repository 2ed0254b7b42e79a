// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/watch_schedule.hpp"

#include <vector>

#include "property.hpp"

namespace pathcleat {
namespace {

constexpr Duration kContact{3'000'000};
constexpr Duration kMaxWait{20'000'000};

// Guards against hosts whose waits all end at the same time after a change:
// then no host has an answer of the store in between.
Test(watch_schedule, answers_to_a_fleet_come_at_even_intervals) {
  cr_assert(Holds("answers are spread", [] {
    const WatchSchedule schedule(kContact);
    const int count = *rc::gen::inRange(1, 400);
    Duration previous{0};
    for (int position = 0; position < count; ++position) {
      const Duration wait = schedule.FirstWait({position, count});
      RC_ASSERT(wait - previous > Duration::zero());
      RC_ASSERT(wait - previous <= kContact / 2);
      previous = wait;
    }
    // The first host's next answer comes after the last host's first one.
    const Duration second =
        schedule.FirstWait({0, count}) + schedule.NextWait({0, count});
    RC_ASSERT(second > previous);
    RC_ASSERT(second - previous <= kContact / 2);
    RC_ASSERT(previous <= kMaxWait);
  }));
}

// Guards against restarts of all watches while the store answers: an answer
// must be known everywhere, 1 s later if a datagram is lost, before the next
// one is overdue.
Test(watch_schedule, answers_in_turn_are_never_overdue) {
  constexpr Duration kNewsDelay{1'000'000};
  for (const int contact_ms : {3'000, 4'000, 5'000}) {
    const Duration contact = std::chrono::milliseconds(contact_ms);
    const WatchSchedule schedule(contact);
    const Duration spacing = schedule.FirstWait({0, 9});
    cr_assert_not(schedule.IsOverdue(spacing + kNewsDelay, 0));
  }
}

// Guards against a restart so late that its answer comes after the contact
// time.
Test(watch_schedule, restart_leaves_time_for_a_call) {
  constexpr Duration kCall{300'000};
  const WatchSchedule schedule(kContact);
  for (const double delay_share : {0.0, 0.5, 1.0}) {
    cr_assert(schedule.IsOverdue(kContact - kCall, delay_share));
  }
}

// Guards against calls without pause if the settings state no contact time.
Test(watch_schedule, wait_is_never_zero) {
  const WatchSchedule schedule(Duration(0));
  cr_assert_gt(schedule.FirstWait({0, 1}).count(), 100'000);
  cr_assert_gt(schedule.NextWait({0, 1}).count(), 100'000);
}

}  // namespace
}  // namespace pathcleat
