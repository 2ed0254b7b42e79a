// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/shutdown_schedule.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

// Each of the margins below is the time from the end of a phase of the shutdown
// until the process is killed. New callers are accepted until kAcceptMargin, as
// callers that located the host before the shutdown still arrive for some
// seconds; a new connection may take one second to open and be read.
constexpr Duration kAcceptMargin{1'500'000};
// Upstreams may work until this margin. The margin leaves time for an
// upstream's last answer to pass a long link (35 ms between regions), a
// connection that needed a second attempt (about 0.3 s) and a busy host.
constexpr Duration kWorkMargin{1'000'000};
// Time before the end of the grace time at which the requests still open are
// answered with the outcome as far as it is known. The margin lies within the
// last sixth of the usual grace time of 6 s.
constexpr Duration kFinalAnswerMargin{500'000};
// Time for the last answers to leave the host and for the process to exit.
constexpr Duration kExitMargin{250'000};
// Work may take up to this multiple of the expected time. The multiple is the
// same as in FailoverTimeoutFor (failover_timeout.hpp).
constexpr int kExpectedMultiple = 4;

// Returns the time that must be left so that work may be started. For
// unrepeatable work, this is an upper bound of its duration, as the work would
// be lost for its caller if it were ended early. Repeatable work can run again
// elsewhere, so the time is capped at the target latency, but is at least the
// expected time. Initial estimates of run times are fractions of the target.
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
  begun_at_ = now;
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
