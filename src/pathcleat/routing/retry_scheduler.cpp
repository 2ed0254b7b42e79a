// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/retry_scheduler.hpp"

#include <algorithm>
#include <iterator>

namespace pathcleat {
namespace {

// Callers accept a Retry-After of up to a third of their remaining time; they
// ignore a later time.
constexpr int kAcceptedDelayDivisor = 3;

}  // namespace

Duration LatestRetryDelay(Duration caller_left, Duration service) {
  const Duration max_accepted = caller_left / kAcceptedDelayDivisor;
  const Duration in_time = caller_left - service;
  return std::max(Duration::zero(), std::min(max_accepted, in_time));
}

Duration RetryScheduler::Reserve(const RetryWindow& window, Time now) {
  reserved_.erase(reserved_.begin(), reserved_.lower_bound(now));
  const Duration latest = std::max(window.latest, Duration::zero());
  const Duration earliest = std::max(window.earliest, Duration::zero());
  const Duration delay = ChooseDelay(
      {earliest, window.latest_in_time, latest, window.spacing}, now);
  if (reserved_.size() < kMaxReserved) {
    reserved_.insert(now + delay);
  }
  return delay;
}

Duration RetryScheduler::ChooseDelay(const RetryWindow& window,
                                     Time now) const {
  const Duration in_time = std::min(window.latest_in_time, window.latest);
  if (window.earliest <= in_time) {
    if (const auto first =
            FirstFree(window.earliest, in_time, window.spacing, now)) {
      return *first;
    }
  }
  // If there is no free time at the full spacing, the request gets a time
  // between two reserved ones, so that retries that exceed the capacity do not
  // arrive together.
  Duration from =
      window.earliest <= window.latest ? window.earliest : Duration::zero();
  Duration spacing = window.spacing;
  for (int i = 0; i < kSpacingCount; ++i) {
    if (const auto last = LastFree(from, window.latest, spacing, now)) {
      return *last;
    }
    spacing /= 2;
  }
  return window.latest;
}

std::optional<Duration> RetryScheduler::FirstFree(Duration from,
                                                  Duration to,
                                                  Duration spacing,
                                                  Time now) const {
  Time time = now + from;
  for (auto next = reserved_.upper_bound(time - spacing);
       next != reserved_.end() && *next < time + spacing; ++next) {
    time = *next + spacing;
  }
  return time <= now + to ? std::optional(time - now) : std::nullopt;
}

std::optional<Duration> RetryScheduler::LastFree(Duration from,
                                                 Duration to,
                                                 Duration spacing,
                                                 Time now) const {
  Time time = now + to;
  auto next = std::make_reverse_iterator(reserved_.lower_bound(time + spacing));
  for (; next != reserved_.rend() && *next > time - spacing; ++next) {
    time = *next - spacing;
  }
  return time >= now + from ? std::optional(time - now) : std::nullopt;
}

}  // namespace pathcleat
