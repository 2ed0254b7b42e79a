// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/urgency_tracker.hpp"

#include <algorithm>
#include <cmath>

namespace pathcleat {
namespace {

// Time in which the counts decay by the factor e. It is longer than callers
// wait before a retry (0.4 to 1 s), so that a retry counts together with its
// first attempt, and short enough to follow a burst of 3 s.
constexpr double kDecaySeconds = 2;
// Minimum number of first attempts for a reliable share. With fewer attempts
// the spread of the share is 0.1 or more.
constexpr double kMinOffered = 20;
// Kinds with a lower decayed count are dropped.
constexpr double kMinCount = 0.1;
// Two shares count as equal if their difference is at most this: a share of
// some tens of requests is no more precise. The users' requirements allow a
// difference of 0.05.
constexpr double kShareTolerance = 0.04;

}  // namespace

void UrgencyTracker::Counts::DecayTo(Time now) {
  const double age = std::chrono::duration<double>(now - updated_at).count();
  const double remaining = std::exp(-std::max(0.0, age) / kDecaySeconds);
  offered *= remaining;
  sent *= remaining;
  updated_at = std::max(updated_at, now);
}

void UrgencyTracker::OnFirstAttempt(const std::string& kind,
                                    const Urgency& urgency,
                                    Time now) {
  if (!kinds_.contains(kind)) {
    DropDecayed(now);
  }
  Counts& counts = kinds_[kind];
  counts.DecayTo(now);
  counts.urgency = urgency;
  counts.offered += 1;
}

// Drops decayed kinds. Called when a new kind appears: there are many routes,
// but only few of them are in use at a time.
void UrgencyTracker::DropDecayed(Time now) {
  std::erase_if(kinds_, [now](const auto& kind) {
    Counts decayed = kind.second;
    decayed.DecayTo(now);
    return decayed.offered < kMinCount;
  });
}

void UrgencyTracker::OnSent(const std::string& kind, Time now) {
  const auto found = kinds_.find(kind);
  if (found == kinds_.end()) {
    return;
  }
  found->second.DecayTo(now);
  found->second.sent += 1;
}

double UrgencyTracker::Share(const Counts& counts, Time now) {
  Counts decayed = counts;
  decayed.DecayTo(now);
  return decayed.offered < kMinOffered
             ? 1
             : std::min(1.0, decayed.sent / decayed.offered);
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
           Share(other.second, now) < share - kShareTolerance;
  });
}

}  // namespace pathcleat
