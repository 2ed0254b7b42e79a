// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/crashes/suspect_request.hpp"

#include <algorithm>
#include <limits>

namespace pathcleat {
namespace {

// A request that comes rarely still reaches its third crash.
constexpr Duration kSuspicionTime = std::chrono::minutes(10);
constexpr Duration kBlockedMemory = std::chrono::hours(2);
// News of a crash that is still on its way must not outlive the answer that
// came after it.
constexpr Duration kAnswerMemory = std::chrono::seconds(15);
constexpr Duration kFirstBlock = std::chrono::minutes(1);
constexpr int kMostDoublings = 6;  // an hour and four minutes

std::uint32_t Milliseconds(Duration age) {
  constexpr std::int64_t kMost = kNeverAnswered - 1;
  const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(age);
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(whole.count(), 0, kMost));
}

}  // namespace

bool SuspectRequest::AddCrash(std::uint64_t upstream, Time at) {
  const bool known = std::any_of(
      signs_.begin(), signs_.end(),
      [upstream](const Sign& sign) { return sign.upstream == upstream; });
  if (known || at <= answered_) {
    return false;
  }
  if (!IsBlocked()) {
    signs_.push_back({upstream, at});
    return true;
  }
  if (at < BlockedUntil()) {
    return false;
  }
  failed_trials_ = static_cast<std::uint8_t>(std::min<int>(
      failed_trials_ + 1, std::numeric_limits<std::uint8_t>::max()));
  *std::min_element(signs_.begin(), signs_.end(),
                    [](const Sign& a, const Sign& b) {
                      return a.at < b.at;
                    }) = {upstream, at};
  return true;
}

bool SuspectRequest::ClearUntil(Time at) {
  answered_ = std::max(answered_, at);
  const auto cleared = std::erase_if(
      signs_, [this](const Sign& sign) { return sign.at <= answered_; });
  if (signs_.empty()) {
    failed_trials_ = 0;
  }
  return cleared > 0;
}

bool SuspectRequest::Merge(const CrashEntry& entry, Time now) {
  bool news = false;
  if (entry.answer_age_ms != kNeverAnswered) {
    news = ClearUntil(now - std::chrono::milliseconds(entry.answer_age_ms));
  }
  for (const CrashObservation& sign : entry.observations) {
    const Time at = now - std::chrono::milliseconds(sign.age_ms);
    news = AddCrash(sign.upstream_hash, at) || news;
  }
  if (IsBlocked()) {
    failed_trials_ = std::max(failed_trials_, entry.failed_trials);
  }
  return news;
}

CrashEntry SuspectRequest::ToEntry(RequestDigest request, Time now) const {
  CrashEntry entry;
  entry.request = request;
  for (const Sign& sign : signs_) {
    entry.observations.push_back({sign.upstream, Milliseconds(now - sign.at)});
  }
  if (answered_ != Time::min()) {
    entry.answer_age_ms = Milliseconds(now - answered_);
  }
  entry.failed_trials = failed_trials_;
  return entry;
}

Time SuspectRequest::LastCrashTime() const {
  Time last = Time::min();
  for (const Sign& sign : signs_) {
    last = std::max(last, sign.at);
  }
  return last;
}

Time SuspectRequest::BlockedUntil() const {
  const int doublings = std::min<int>(failed_trials_, kMostDoublings);
  return LastCrashTime() + kFirstBlock * (1 << doublings);
}

bool SuspectRequest::IsExpired(Time now) const {
  if (signs_.empty()) {
    return answered_ < now - kAnswerMemory;
  }
  return now - LastCrashTime() >
         (IsBlocked() ? kBlockedMemory : kSuspicionTime);
}

}  // namespace pathcleat
