// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/shutdown_schedule.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

constexpr Duration kGrace{6'000'000};
constexpr Time kShutdownBegin{Duration(1'000'000'000)};
constexpr Duration kTarget{800'000};

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
  cr_assert(schedule.MayStart({Duration(30'000'000), kTarget}, deadline,
                              kShutdownBegin));
}

Test(shutdown_schedule, requests_with_an_earlier_deadline_are_unaffected) {
  const ShutdownSchedule schedule = MakeStartedSchedule();
  const Time deadline = kShutdownBegin + Duration(2'000'000);
  cr_assert(schedule.WorkDeadline(deadline) == deadline);
  cr_assert(schedule.MayStart({Duration(1'900'000), kTarget}, deadline,
                              kShutdownBegin));
}

// Guards against work that is cut off by the shutdown: a request arrives 4.38 s
// after the begin of the shutdown, and the upstream needs more than 1 s. Fails
// with kExpectedMultiple set to 1.
Test(shutdown_schedule, long_work_is_not_started_late) {
  const ShutdownSchedule schedule = MakeStartedSchedule();
  const Time now = kShutdownBegin + Duration(4'380'000);
  const Time deadline = now + Duration(5'000'000);
  cr_assert_not(
      schedule.MayStart({Duration(1'000'000), kTarget}, deadline, now));
  cr_assert_not(schedule.MayStart({Duration(200'000), kTarget}, deadline, now));
  cr_assert(schedule.MayStart({Duration(20'000), kTarget}, deadline, now));
}

// Guards against losing unrepeatable requests: a request that is ended early at
// its upstream is lost for its caller, while a refused request runs elsewhere.
// Fails with RequiredTime the same for all work.
Test(shutdown_schedule, unrepeatable_work_needs_more_time) {
  const ShutdownSchedule schedule = MakeStartedSchedule();
  const Time now = kShutdownBegin + Duration(3'500'000);
  const Time deadline = now + Duration(8'000'000);
  const Duration expected{600'000};
  cr_assert(schedule.MayStart({expected, kTarget, true}, deadline, now));
  cr_assert_not(schedule.MayStart({expected, kTarget, false}, deadline, now));
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
        const WorkTimes times{random_duration(5'000'000),
                              random_duration(2'000'000)};
        const Time work_end = schedule.WorkDeadline(deadline);
        RC_ASSERT(work_end <= deadline);
        RC_ASSERT(schedule.accepts_until() <= schedule.final_answer_time());
        RC_ASSERT(schedule.final_answer_time() <= schedule.exit_time());
        RC_ASSERT(schedule.exit_time() <= kShutdownBegin + grace);
        RC_ASSERT(work_end <= std::max(deadline, schedule.final_answer_time()));
        if (schedule.ShortensDeadline(deadline)) {
          RC_ASSERT(work_end <= schedule.final_answer_time());
        }
        if (schedule.MayStart(times, deadline, now) && work_end < deadline) {
          RC_ASSERT(now + times.expected <= work_end);
        }
        RC_ASSERT(deadline <= schedule.final_answer_time() ||
                  schedule.ShortensDeadline(deadline));
      },
      2'000));
}

}  // namespace
}  // namespace pathcleat
