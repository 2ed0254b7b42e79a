// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/shutdown_schedule.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

// Each of the margins below is the time from the end of a phase of the shutdown
// until the process is killed. Kept connections are served until
// kCloseIdleMargin: a request that crosses the close of its connection gets no
// answer, while one that is refused may go elsewhere at once. A new connection
// may take one second to open and be read.
constexpr Duration kCloseIdleMargin{1'500'000};
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
  closes_idle_at_ = time_before_kill(kCloseIdleMargin);
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

Time ShutdownSchedule::AcceptsUntil(Duration shortest_timeout) const {
  return std::clamp(work_deadline_ - shortest_timeout, begun_at_,
                    closes_idle_at_);
}

}  // namespace pathcleat
