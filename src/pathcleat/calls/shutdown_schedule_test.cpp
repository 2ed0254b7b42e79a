// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/shutdown_schedule.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

constexpr Duration kGrace{6'000'000};
constexpr Time kShutdownBegin{Duration(1'000'000'000)};

ShutdownSchedule MakeStartedSchedule(Duration grace = kGrace) {
  ShutdownSchedule schedule;
  schedule.Begin(kShutdownBegin, grace);
  return schedule;
}

Test(shutdown_schedule, changes_nothing_before_the_shutdown) {
  const ShutdownSchedule schedule;
  const Time deadline = kShutdownBegin + Duration(60'000'000);
  cr_assert_not(schedule.ShortensDeadline(deadline));
  cr_assert(schedule.WorkDeadline(deadline) == deadline);
  cr_assert(schedule.MayStart(deadline));
}

Test(shutdown_schedule, requests_with_an_earlier_deadline_are_unaffected) {
  const ShutdownSchedule schedule = MakeStartedSchedule();
  const Time deadline = kShutdownBegin + Duration(2'000'000);
  cr_assert(schedule.WorkDeadline(deadline) == deadline);
  cr_assert(schedule.MayStart(deadline));
}

// Guards against work that is ended by the shutdown while its upstream runs it:
// a request arrives 3.8 s after the begin of the shutdown and may take 4 s.
// Fails with MayStart comparing the expected time of the work.
Test(shutdown_schedule, work_that_may_outlast_the_host_is_not_started) {
  const ShutdownSchedule schedule = MakeStartedSchedule();
  const Time now = kShutdownBegin + Duration(3'800'000);
  cr_assert_not(schedule.MayStart(now + Duration(4'000'000)));
  cr_assert_not(schedule.MayStart(now + Duration(1'300'000)));
  cr_assert(schedule.MayStart(now + Duration(1'200'000)));
}

// Guards against a listener that is open while every request would be refused,
// and against one that closes while some could be served.
Test(shutdown_schedule, connections_are_accepted_while_work_may_start) {
  const ShutdownSchedule schedule = MakeStartedSchedule();
  const Duration timeout{2'500'000};
  const Time end = schedule.AcceptsUntil(timeout);
  cr_assert(schedule.MayStart(end + timeout));
  cr_assert_not(schedule.MayStart(end + timeout + Duration(1)));
  cr_assert(schedule.AcceptsUntil(Duration(60'000'000)) == kShutdownBegin);
  cr_assert(schedule.AcceptsUntil(Duration::zero()) ==
            schedule.closes_idle_at());
}

// Guards against a second signal that postpones the exit. Fails without the
// test of begun_ in Begin.
Test(shutdown_schedule, second_signal_changes_nothing) {
  ShutdownSchedule schedule = MakeStartedSchedule();
  const Time exit_time = schedule.exit_time();
  schedule.Begin(kShutdownBegin + Duration(3'000'000), kGrace);
  cr_assert(schedule.exit_time() == exit_time);
}

// Guards against work that ends after the final answers, for any schedule.
// Fails with WorkDeadline always returning the deadline, with MayStart always
// true, and with kFinalAnswerMargin above kWorkMargin.
Test(shutdown_schedule, started_work_ends_before_the_final_answers) {
  cr_assert(Holds(
      "any grace, deadline, moment and expected time",
      [] {
        const auto random_duration = [](int max_micros) {
          return Duration(*rc::gen::inRange(0, max_micros));
        };
        const Duration grace = random_duration(20'000'000);
        const ShutdownSchedule schedule = MakeStartedSchedule(grace);
        const Time now = kShutdownBegin + random_duration(20'000'000);
        const Time deadline = now + random_duration(20'000'000);
        const Duration timeout = random_duration(20'000'000);
        const Time work_end = schedule.WorkDeadline(deadline);
        RC_ASSERT(work_end <= deadline);
        RC_ASSERT(schedule.AcceptsUntil(timeout) <= schedule.closes_idle_at());
        RC_ASSERT(schedule.closes_idle_at() <= schedule.final_answer_time());
        RC_ASSERT(schedule.final_answer_time() <= schedule.exit_time());
        RC_ASSERT(schedule.exit_time() <= kShutdownBegin + grace);
        RC_ASSERT(work_end <= std::max(deadline, schedule.final_answer_time()));
        if (schedule.ShortensDeadline(deadline)) {
          RC_ASSERT(work_end <= schedule.final_answer_time());
        }
        if (schedule.MayStart(deadline)) {
          RC_ASSERT(deadline <= schedule.final_answer_time());
          RC_ASSERT(work_end == deadline);
        }
        RC_ASSERT(deadline <= schedule.final_answer_time() ||
                  schedule.ShortensDeadline(deadline));
      },
      2'000));
}

}  // namespace
}  // namespace pathcleat
