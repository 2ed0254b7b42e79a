// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/retry_scheduler.hpp"

#include <algorithm>
#include <iterator>

namespace pathcleat {
namespace {

// Callers heed Retry-After up to a third of what they have left (the users'
// protocol page): to name a later time would only be untrue.
constexpr int kHeededPart = 3;

}  // namespace

Duration LatestRetry(Duration caller_left, Duration service) {
  const Duration heeded = caller_left / kHeededPart;
  const Duration answered = caller_left - service;
  return std::max(Duration::zero(), std::min(heeded, answered));
}

Duration RetryScheduler::Reserve(const RetryWindow& window, Time now) {
  booked_.erase(booked_.begin(), booked_.lower_bound(now));
  const Duration latest = std::max(window.latest, Duration::zero());
  const Duration room = std::max(window.earliest, Duration::zero());
  const Duration place =
      Place({room, window.latest_in_time, latest, window.spacing}, now);
  if (booked_.size() < kMostBooked) {
    booked_.insert(now + place);
  }
  return place;
}

Duration RetryScheduler::Place(const RetryWindow& window, Time now) const {
  const Duration in_time = std::min(window.latest_in_time, window.latest);
  if (window.earliest <= in_time) {
    if (const auto first =
            FirstFree(window.earliest, in_time, window.spacing, now)) {
      return *first;
    }
  }
  // Without a place of its own it gets one between two others, so that those
  // who must come anyway do not come together.
  Duration from =
      window.earliest <= window.latest ? window.earliest : Duration::zero();
  Duration spacing = window.spacing;
  for (int i = 0; i < kMostHalvings; ++i) {
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
  Time place = now + from;
  for (auto next = booked_.upper_bound(place - spacing);
       next != booked_.end() && *next < place + spacing; ++next) {
    place = *next + spacing;
  }
  return place <= now + to ? std::optional(place - now) : std::nullopt;
}

std::optional<Duration> RetryScheduler::LastFree(Duration from,
                                                 Duration to,
                                                 Duration spacing,
                                                 Time now) const {
  Time place = now + to;
  auto next = std::make_reverse_iterator(booked_.lower_bound(place + spacing));
  for (; next != booked_.rend() && *next > place - spacing; ++next) {
    place = *next - spacing;
  }
  return place >= now + from ? std::optional(place - now) : std::nullopt;
}

}  // namespace pathcleat
