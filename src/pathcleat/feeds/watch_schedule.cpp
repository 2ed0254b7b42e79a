// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/watch_schedule.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

constexpr Duration kMaxWait{20'000'000};
// Bounds the rate of calls if the settings ask for less.
constexpr Duration kMinContact{500'000};
// Shares of the contact time. Between two answers of the store, the news of an
// answer needs up to 0.5 s to reach all hosts, or 1 s if a datagram is lost, so
// the limit exceeds the spacing by more. After the limit and the longest delay
// there is time left for one call.
constexpr double kSpacingShare = 0.375;
constexpr double kOverdueShare = 0.75;
constexpr double kMaxDelayShare = 0.125;

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

}  // namespace

void WatchSchedule::SetContact(Duration contact) {
  contact_ = std::max(contact, kMinContact);
}

// In a large fleet the longest wait is enough to have an answer in time.
Duration WatchSchedule::Spacing(const WatchTurn& turn) const {
  return std::min(Scale(contact_, kSpacingShare), kMaxWait / turn.count);
}

Duration WatchSchedule::FirstWait(const WatchTurn& turn) const {
  return Spacing(turn) * (turn.position + 1);
}

Duration WatchSchedule::NextWait(const WatchTurn& turn) const {
  return Spacing(turn) * turn.count;
}

bool WatchSchedule::IsOverdue(Duration answer_age, double delay_share) const {
  return answer_age >=
         Scale(contact_, kOverdueShare + kMaxDelayShare * delay_share);
}

}  // namespace pathcleat
