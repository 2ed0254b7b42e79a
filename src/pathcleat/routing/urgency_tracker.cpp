// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/urgency_tracker.hpp"

#include <algorithm>
#include <cmath>

namespace pathcleat {
namespace {

// Longer than callers stay away (0.4 to 1 s), so that a return counts beside
// its first try; short enough to follow a burst of 3 s.
constexpr double kFadeSeconds = 2;
// With fewer offered, a share says little: its spread is a tenth or more.
constexpr double kLeastOffered = 20;
// Less than this is as good as nothing.
constexpr double kFaded = 0.1;
// Kinds within this of each other are even: a share of some tens of requests
// is no better known. The users' pages allow 5 in 100.
constexpr double kEven = 0.04;

}  // namespace

void UrgencyTracker::Counts::FadeTo(Time now) {
  const double age = std::chrono::duration<double>(now - counted).count();
  const double kept = std::exp(-std::max(0.0, age) / kFadeSeconds);
  offered *= kept;
  sent *= kept;
  counted = std::max(counted, now);
}

void UrgencyTracker::OnFirstAttempt(const std::string& kind,
                                    const Urgency& urgency,
                                    Time now) {
  if (!kinds_.contains(kind)) {
    Forget(now);
  }
  Counts& counts = kinds_[kind];
  counts.FadeTo(now);
  counts.urgency = urgency;
  counts.offered += 1;
}

// Routes are many, those in use few: what has faded is dropped when a new kind
// comes.
void UrgencyTracker::Forget(Time now) {
  std::erase_if(kinds_, [now](const auto& kind) {
    Counts faded = kind.second;
    faded.FadeTo(now);
    return faded.offered < kFaded;
  });
}

void UrgencyTracker::OnSent(const std::string& kind, Time now) {
  const auto found = kinds_.find(kind);
  if (found == kinds_.end()) {
    return;
  }
  found->second.FadeTo(now);
  found->second.sent += 1;
}

double UrgencyTracker::Share(const Counts& counts, Time now) {
  Counts at_now = counts;
  at_now.FadeTo(now);
  return at_now.offered < kLeastOffered
             ? 1
             : std::min(1.0, at_now.sent / at_now.offered);
}

bool UrgencyTracker::IsOverServed(const std::string& kind, Time now) const {
  const auto own = kinds_.find(kind);
  if (own == kinds_.end()) {
    return false;
  }
  const Urgency urgency = own->second.urgency;
  const double share = Share(own->second, now);
  return std::any_of(kinds_.begin(), kinds_.end(), [&](const auto& other) {
    return other.second.urgency < urgency &&
           Share(other.second, now) < share - kEven;
  });
}

}  // namespace pathcleat
