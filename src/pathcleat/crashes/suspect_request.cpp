// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/crashes/suspect_request.hpp"

#include <algorithm>
#include <limits>

namespace pathcleat {
namespace {

// Time after the last crash for which a request that is not blocked is kept. It
// is long enough for a request that is sent rarely to cause its third crash.
constexpr Duration kSuspectTtl = std::chrono::minutes(10);
constexpr Duration kBlockedTtl = std::chrono::hours(2);
// Time for which an answer is kept. A report of an earlier crash may still be
// in flight; it must arrive within this time, so that the crash is not counted.
constexpr Duration kAnswerTtl = std::chrono::seconds(15);
constexpr Duration kFirstBlockTime = std::chrono::minutes(1);
constexpr int kMaxDoublings = 6;  // a block time of 64 minutes

std::uint32_t Milliseconds(Duration age) {
  constexpr std::int64_t kMax = kNeverAnswered - 1;
  const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(age);
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(whole.count(), 0, kMax));
}

}  // namespace

bool SuspectRequest::AddCrash(std::uint64_t upstream, Time at) {
  const bool is_recorded =
      std::any_of(observations_.begin(), observations_.end(),
                  [upstream](const Observation& observation) {
                    return observation.upstream == upstream;
                  });
  if (is_recorded || at <= answered_at_) {
    return false;
  }
  if (!IsBlocked()) {
    observations_.push_back({upstream, at});
    return true;
  }
  if (at < BlockedUntil()) {
    return false;
  }
  failed_trials_ = static_cast<std::uint8_t>(std::min<int>(
      failed_trials_ + 1, std::numeric_limits<std::uint8_t>::max()));
  *std::min_element(observations_.begin(), observations_.end(),
                    [](const Observation& a, const Observation& b) {
                      return a.at < b.at;
                    }) = {upstream, at};
  return true;
}

bool SuspectRequest::ClearUntil(Time at) {
  answered_at_ = std::max(answered_at_, at);
  const auto cleared =
      std::erase_if(observations_, [this](const Observation& observation) {
        return observation.at <= answered_at_;
      });
  if (observations_.empty()) {
    failed_trials_ = 0;
  }
  return cleared > 0;
}

bool SuspectRequest::Merge(const CrashEntry& entry, Time now) {
  bool changed = false;
  if (entry.answer_age_ms != kNeverAnswered) {
    changed = ClearUntil(now - std::chrono::milliseconds(entry.answer_age_ms));
  }
  for (const CrashObservation& observation : entry.observations) {
    const Time at = now - std::chrono::milliseconds(observation.age_ms);
    changed = AddCrash(observation.upstream_hash, at) || changed;
  }
  if (IsBlocked()) {
    failed_trials_ = std::max(failed_trials_, entry.failed_trials);
  }
  return changed;
}

CrashEntry SuspectRequest::ToEntry(RequestDigest request, Time now) const {
  CrashEntry entry;
  entry.request = request;
  for (const Observation& observation : observations_) {
    entry.observations.push_back(
        {observation.upstream, Milliseconds(now - observation.at)});
  }
  if (answered_at_ != Time::min()) {
    entry.answer_age_ms = Milliseconds(now - answered_at_);
  }
  entry.failed_trials = failed_trials_;
  return entry;
}

Time SuspectRequest::LastCrashTime() const {
  Time last = Time::min();
  for (const Observation& observation : observations_) {
    last = std::max(last, observation.at);
  }
  return last;
}

Time SuspectRequest::BlockedUntil() const {
  const int doublings = std::min<int>(failed_trials_, kMaxDoublings);
  return LastCrashTime() + kFirstBlockTime * (1 << doublings);
}

bool SuspectRequest::IsExpired(Time now) const {
  if (observations_.empty()) {
    return answered_at_ < now - kAnswerTtl;
  }
  return now - LastCrashTime() > (IsBlocked() ? kBlockedTtl : kSuspectTtl);
}

}  // namespace pathcleat
