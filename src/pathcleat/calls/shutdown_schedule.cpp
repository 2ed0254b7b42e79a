// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/shutdown_schedule.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

// How long before the process is killed each thing ends. Callers that know the
// host from before come for some seconds; a new connection may take one to
// come up and be read.
constexpr Duration kAcceptMargin{1'500'000};
// An upstream's last word has the longest way (35 ms between regions), a
// connection that needed a second try (about 0.3 s) and a busy host to pass.
constexpr Duration kWorkMargin{1'000'000};
// Within the last sixth of the users' grace time of 6 s; reckoned, not
// measured.
constexpr Duration kLastAnswersMargin{500'000};
// Answers leave the host in this time; the rest is for the process' own end.
constexpr Duration kEndMargin{250'000};
// Work may last far longer than expected: the multiple after which an upstream
// counts as silent (patience.hpp).
constexpr int kExpectedMultiple = 4;

// The time that work needs to end surely. What can be repeated elsewhere needs
// no more than its target: first guesses of run times are shares of that. Work
// that cannot would be lost for its caller if its upstream ended it early.
Duration Needed(const WorkTimes& times) {
  const Duration surely = times.expected * kExpectedMultiple;
  return times.repeatable
             ? std::max(times.expected, std::min(surely, times.target))
             : surely;
}

}  // namespace

void ShutdownSchedule::Begin(Time now, Duration grace) {
  if (begun_) {
    return;
  }
  begun_ = true;
  const auto before_end = [now, grace](Duration margin) {
    return now + std::max(Duration::zero(), grace - margin);
  };
  accepts_until_ = before_end(kAcceptMargin);
  work_ends_ = before_end(kWorkMargin);
  last_answers_ = before_end(kLastAnswersMargin);
  ends_ = before_end(kEndMargin);
}

bool ShutdownSchedule::ShortensDeadline(Time deadline) const {
  return begun_ && work_ends_ < deadline;
}

Time ShutdownSchedule::WorkDeadline(Time deadline) const {
  return ShortensDeadline(deadline) ? work_ends_ : deadline;
}

bool ShutdownSchedule::MayStart(const WorkTimes& times,
                                Time deadline,
                                Time now) const {
  return !ShortensDeadline(deadline) || now + Needed(times) <= work_ends_;
}

}  // namespace pathcleat
