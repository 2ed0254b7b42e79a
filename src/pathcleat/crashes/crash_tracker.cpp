// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/crashes/crash_tracker.hpp"

#include <algorithm>
#include <utility>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

// About 150 bytes each. Where upstreams crash in great numbers, the requests
// that are nearest to being blocked are kept.
constexpr std::size_t kMostSuspects = 1'024;
// Longer than any trial takes, so that two of them do not overlap.
constexpr Duration kTrialTurn = std::chrono::seconds(30);
// Datagrams get lost. One crash alone decides nothing and is repeated less.
constexpr int kTellsOfSuspect = 2;
constexpr int kTellsOfChange = 4;
constexpr Duration kTellGap{400'000};
// A host that was cut off while others were told hears of it again within this
// time, for as long as callers are likely to ask on.
constexpr Duration kRepeatGap{2'000'000};
constexpr Duration kRepeatFor = std::chrono::minutes(2);
// What was heard in the own domain waits so long for this host to become the
// one that tells other domains.
constexpr Duration kNewsTime = std::chrono::seconds(5);

int TellsOf(const SuspectRequest& suspect) {
  return suspect.crash_count() == 1 ? kTellsOfSuspect : kTellsOfChange;
}

// When the turn of trials began that it is now.
Time TurnAt(const SuspectRequest& suspect, Time now) {
  const Time first = suspect.BlockedUntil();
  return first + (now - first) / kTrialTurn * kTrialTurn;
}

// Keeps the entries that are nearest to being blocked, as many as fit.
void KeepFirst(std::vector<CrashEntry>& entries) {
  std::sort(entries.begin(), entries.end(),
            [](const CrashEntry& a, const CrashEntry& b) {
              return a.observations.size() > b.observations.size();
            });
  entries.resize(std::min(entries.size(), kMaxCrashEntries));
}

}  // namespace

EventFields ToEventFields(const CrashDecision& verdict) {
  return {IntegerField(field::kCrashes, verdict.crash_count),
          MillisecondsField(field::kAgeMs, verdict.age),
          IntegerField(field::kFailedTrials, verdict.failed_trials),
          MillisecondsField(field::kRetryAfterMs, verdict.retry_after),
          {field::kFrom, verdict.reported_by}};
}

CrashTracker::CrashTracker(std::string domain, std::string host)
    : domain_(std::move(domain)),
      host_(std::move(host)),
      own_hash_(StableHash(host_)) {}

std::size_t CrashTracker::BlockedCount() const {
  return static_cast<std::size_t>(std::count_if(
      suspects_.begin(), suspects_.end(),
      [](const auto& named) { return named.second.known.IsBlocked(); }));
}

// Forgets the entry that matters least, if there is no room for another one.
CrashTracker::Suspect& CrashTracker::Entry(RequestDigest request) {
  const auto found = suspects_.find(request);
  if (found != suspects_.end()) {
    return found->second;
  }
  if (suspects_.size() >= kMostSuspects) {
    suspects_.erase(std::min_element(
        suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
          return std::pair(a.second.known.crash_count(), a.second.noted) <
                 std::pair(b.second.known.crash_count(), b.second.noted);
        }));
  }
  return suspects_[request];
}

void CrashTracker::OnCrash(RequestDigest request,
                           std::uint64_t upstream,
                           Time now) {
  Suspect& suspect = Entry(request);
  const bool was_blocked = suspect.known.IsBlocked();
  if (suspect.known.AddCrash(upstream, now)) {
    NoteOwn(request, was_blocked, now);
  }
}

void CrashTracker::OnAnswer(RequestDigest request, Time now) {
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) {
    return;
  }
  const bool was_blocked = found->second.known.IsBlocked();
  if (found->second.known.ClearUntil(now)) {
    NoteOwn(request, was_blocked, now);
  }
}

void CrashTracker::NoteOwn(RequestDigest request, bool was_blocked, Time now) {
  Suspect& suspect = suspects_.at(request);
  suspect.noted = now;
  suspect.reported_by.clear();
  suspect.to_domain = {TellsOf(suspect.known), now, {}};
  suspect.to_others = suspect.to_domain;
  Notice(request, was_blocked, now);
  if (on_news_) {
    on_news_();
  }
}

void CrashTracker::Notice(RequestDigest request, bool was_blocked, Time now) {
  const bool blocked = suspects_.at(request).known.IsBlocked();
  if (blocked != was_blocked && on_notice_) {
    on_notice_({request, Decide(request, now), blocked});
  }
}

// Hosts that see other hosts live than the rest see may try it as well: each
// of them once in a turn.
bool CrashTracker::MayTry(RequestDigest request,
                          const Suspect& suspect,
                          Time now) const {
  if (now < suspect.known.BlockedUntil()) {
    return false;
  }
  const Time turn = TurnAt(suspect.known, now);
  if (suspect.tried_in == turn) {
    return false;
  }
  const auto number = (turn - suspect.known.BlockedUntil()) / kTrialTurn;
  const std::uint64_t seed =
      MixHashes(request, static_cast<std::uint64_t>(number));
  const std::uint64_t own = MixHashes(own_hash_, seed);
  return std::all_of(others_.begin(), others_.end(),
                     [own, seed](std::uint64_t other) {
                       return MixHashes(other, seed) < own;
                     });
}

CrashDecision CrashTracker::Decide(RequestDigest request, Time now) const {
  const auto found = suspects_.find(request);
  if (found == suspects_.end() || found->second.known.crash_count() == 0) {
    return {};
  }
  const Suspect& suspect = found->second;
  CrashDecision verdict;
  verdict.crash_count = suspect.known.crash_count();
  verdict.failed_trials = suspect.known.failed_trials();
  verdict.age = now - suspect.known.LastCrashTime();
  verdict.reported_by = suspect.reported_by;
  if (suspect.known.IsBlocked()) {
    verdict.blocked = !MayTry(request, suspect, now);
    const Duration rest = suspect.known.BlockedUntil() - now;
    verdict.retry_after = rest > Duration::zero() ? rest : kTrialTurn;
  }
  return verdict;
}

bool CrashTracker::OnSent(RequestDigest request, Time now) {
  const auto found = suspects_.find(request);
  if (found == suspects_.end() || !found->second.known.IsBlocked()) {
    return false;
  }
  found->second.tried_in = TurnAt(found->second.known, now);
  return true;
}

void CrashTracker::Tick(Time now) {
  std::vector<RequestDigest> released;
  std::erase_if(suspects_, [&](const auto& named) {
    const bool outlived = named.second.known.IsExpired(now);
    if (outlived && named.second.known.IsBlocked()) {
      released.push_back(named.first);
    }
    return outlived;
  });
  for (const RequestDigest request : released) {
    if (on_notice_) {
      on_notice_({request, {}, false});
    }
  }
}

bool CrashTracker::Telling::IsDue(const SuspectRequest& suspect,
                                  bool repeats,
                                  Time now) const {
  const bool again = repeats && suspect.IsBlocked() &&
                     now - suspect.LastCrashTime() < kRepeatFor &&
                     now - told >= kRepeatGap;
  return again || (left > 0 && now >= due);
}

// What finds no room is told the next time.
CrashReport CrashTracker::Report(bool pass_on,
                                 Telling Suspect::*telling,
                                 bool repeats,
                                 Time now) {
  CrashReport report{domain_, host_, pass_on, {}};
  for (auto& [request, suspect] : suspects_) {
    Telling& tell = suspect.*telling;
    if (now - suspect.noted > kNewsTime) {
      tell.left = 0;
    }
    if (tell.IsDue(suspect.known, repeats, now)) {
      report.entries.push_back(suspect.known.ToEntry(request, now));
    }
  }
  KeepFirst(report.entries);
  for (const CrashEntry& entry : report.entries) {
    Telling& tell = suspects_.at(entry.request).*telling;
    tell.left = std::max(0, tell.left - 1);
    tell.due = now + kTellGap;
    tell.told = now;
  }
  return report;
}

CrashReport CrashTracker::OwnCrashes(bool reports, Time now) {
  return Report(false, &Suspect::to_domain, reports, now);
}

CrashReport CrashTracker::DomainCrashes(Time now) {
  return Report(true, &Suspect::to_others, true, now);
}

CrashReport CrashTracker::CrashSnapshot(Time now) const {
  CrashReport report{domain_, host_, false, {}};
  for (const auto& [request, suspect] : suspects_) {
    if (suspect.known.crash_count() > 0) {
      report.entries.push_back(suspect.known.ToEntry(request, now));
    }
  }
  KeepFirst(report.entries);
  return report;
}

bool CrashTracker::OnCrashReport(const CrashReport& report, Time now) {
  bool any_news = false;
  for (const CrashEntry& entry : report.entries) {
    Suspect& suspect = Entry(entry.request);
    const bool was_blocked = suspect.known.IsBlocked();
    if (!suspect.known.Merge(entry, now)) {
      continue;
    }
    any_news = true;
    suspect.noted = now;
    suspect.reported_by = report.host;
    if (report.domain == domain_) {
      suspect.to_others = {TellsOf(suspect.known), now, {}};
    }
    Notice(entry.request, was_blocked, now);
  }
  return any_news;
}

}  // namespace pathcleat
