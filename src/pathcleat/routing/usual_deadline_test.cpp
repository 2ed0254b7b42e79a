// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/usual_deadline.hpp"

#include <vector>

#include "property.hpp"

namespace pathcleat {
namespace {

constexpr Duration kUsual{2'500'000};

Test(usual_deadline, retry_has_less_left_by_the_time_since_the_first_attempt) {
  UsualDeadline deadline;
  deadline.OnRequest(kUsual);
  cr_assert_eq(deadline.TimeSinceFirstAttempt(kUsual).count(), 0);
  cr_assert_eq(deadline.TimeSinceFirstAttempt(Duration(2'450'000)).count(), 0);
  cr_assert_eq(deadline.TimeSinceFirstAttempt(Duration(1'500'000)).count(),
               1'000'000);
  cr_assert_eq(deadline.TimeSinceFirstAttempt(std::chrono::hours(9)).count(),
               0);
}

// Guards against a usual deadline that unusual deadlines or retries change.
// Fails with the longest deadline taken as the usual one, and with
// kVotesPerMatch = 1.
Test(usual_deadline, unusual_deadlines_and_retries_do_not_change_it) {
  cr_assert(Holds("one first attempt in four keeps the usual deadline", [] {
    const auto others = *rc::gen::container<std::vector<int>>(
        99, rc::gen::inRange(1, 1'000'000'000));
    UsualDeadline deadline;
    deadline.OnRequest(kUsual);
    for (std::size_t i = 0; i < others.size(); ++i) {
      if (i % 3 == 0) {
        deadline.OnRequest(kUsual);
      }
      deadline.OnRequest(Duration(others[i]));
    }
    RC_ASSERT(deadline.value() == kUsual);
  }));
}

Test(usual_deadline, follows_a_change) {
  UsualDeadline deadline;
  for (int i = 0; i < 1'000; ++i) {
    deadline.OnRequest(kUsual);
  }
  constexpr Duration kShorter{1'200'000};
  for (int i = 0; i < 100; ++i) {
    deadline.OnRequest(kShorter);
  }
  cr_assert(deadline.value() == kShorter);
}

}  // namespace
}  // namespace pathcleat
