// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/shutdown_schedule.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

// Time before the kill of the process at which each phase ends. Callers that
// located the host before the shutdown still arrive for some seconds; a new
// connection may take one second to open and be read.
constexpr Duration kAcceptMargin{1'500'000};
// Time for an upstream's last answer to pass a long link (35 ms between
// regions), a connection that needed a second attempt (about 0.3 s) and a busy
// host.
constexpr Duration kWorkMargin{1'000'000};
// Within the last sixth of the usual grace time of 6 s.
constexpr Duration kFinalAnswerMargin{500'000};
// Time for the last answers to leave the host and for the process to exit.
constexpr Duration kExitMargin{250'000};
// Work may take far longer than expected: the same multiple as in
// FailoverTimeoutFor (failover_timeout.hpp).
constexpr int kExpectedMultiple = 4;

// Returns the time that must be left to start work: normally an upper bound of
// its duration. Repeatable work can run again elsewhere, so it needs no more
// than its target latency, but at least the expected time; initial estimates of
// run times are fractions of the target. Other work would be lost for its
// caller if its upstream ended it early.
Duration RequiredTime(const WorkTimes& times) {
  const Duration upper_bound = times.expected * kExpectedMultiple;
  return times.repeatable
             ? std::max(times.expected, std::min(upper_bound, times.target))
             : upper_bound;
}

}  // namespace

void ShutdownSchedule::Begin(Time now, Duration grace) {
  if (begun_) {
    return;
  }
  begun_ = true;
  const auto time_before_kill = [now, grace](Duration margin) {
    return now + std::max(Duration::zero(), grace - margin);
  };
  accepts_until_ = time_before_kill(kAcceptMargin);
  work_deadline_ = time_before_kill(kWorkMargin);
  final_answer_time_ = time_before_kill(kFinalAnswerMargin);
  exit_time_ = time_before_kill(kExitMargin);
}

bool ShutdownSchedule::ShortensDeadline(Time deadline) const {
  return begun_ && work_deadline_ < deadline;
}

Time ShutdownSchedule::WorkDeadline(Time deadline) const {
  return ShortensDeadline(deadline) ? work_deadline_ : deadline;
}

bool ShutdownSchedule::MayStart(const WorkTimes& times,
                                Time deadline,
                                Time now) const {
  return !ShortensDeadline(deadline) ||
         now + RequiredTime(times) <= work_deadline_;
}

}  // namespace pathcleat
