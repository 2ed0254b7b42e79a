// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/crashes/crash_tracker.hpp"

#include <algorithm>
#include <utility>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

// An entry takes about 150 bytes of memory. If more requests are suspected, the
// entries with the most crashes are kept.
constexpr std::size_t kMaxSuspects = 1'024;
// Length of a turn, in which one host may try a blocked request. It is longer
// than any trial takes, so that two trials do not overlap.
constexpr Duration kTrialTurn = std::chrono::seconds(30);
// Reports are repeated as datagrams get lost. A single crash does not block a
// request and is repeated less often.
constexpr int kReportsOfSingleCrash = 2;
constexpr int kReportsOfChange = 4;
constexpr Duration kReportInterval{400'000};
// Entries of blocked requests are repeated at kRepeatInterval, for hosts that
// were cut off when the entry was first sent. The repeats end after
// kRepeatWindow, when callers are unlikely to send the request again.
constexpr Duration kRepeatInterval{2'000'000};
constexpr Duration kRepeatWindow = std::chrono::minutes(2);
// A change received within the own domain is kept for reports to other domains
// for kUpdateTtl, in case this host starts to report for its domain.
constexpr Duration kUpdateTtl = std::chrono::seconds(5);

int ReportCountOf(const SuspectRequest& suspect) {
  return suspect.crash_count() == 1 ? kReportsOfSingleCrash : kReportsOfChange;
}

// Start of the current turn of trials.
Time TurnStart(const SuspectRequest& suspect, Time now) {
  const Time first = suspect.BlockedUntil();
  return first + (now - first) / kTrialTurn * kTrialTurn;
}

// Keeps the entries with the most crashes, as many as fit into a report.
void KeepMostSuspect(std::vector<CrashEntry>& entries) {
  std::sort(entries.begin(), entries.end(),
            [](const CrashEntry& a, const CrashEntry& b) {
              return a.observations.size() > b.observations.size();
            });
  entries.resize(std::min(entries.size(), kMaxCrashEntries));
}

}  // namespace

EventFields ToEventFields(const CrashDecision& decision) {
  return {IntegerField(field::kCrashes, decision.crash_count),
          MillisecondsField(field::kAgeMs, decision.age),
          IntegerField(field::kFailedTrials, decision.failed_trials),
          MillisecondsField(field::kRetryAfterMs, decision.retry_after),
          {field::kFrom, decision.reported_by}};
}

CrashTracker::CrashTracker(std::string domain, std::string host)
    : domain_(std::move(domain)),
      host_(std::move(host)),
      own_hash_(StableHash(host_)) {}

std::size_t CrashTracker::BlockedCount() const {
  return static_cast<std::size_t>(std::count_if(
      suspects_.begin(), suspects_.end(),
      [](const auto& entry) { return entry.second.state.IsBlocked(); }));
}

// Finds or adds an entry. If there is no free slot, removes the entry with the
// fewest crashes. Of several such entries the oldest is removed.
CrashTracker::Suspect& CrashTracker::FindOrAdd(RequestDigest request) {
  const auto found = suspects_.find(request);
  if (found != suspects_.end()) {
    return found->second;
  }
  if (suspects_.size() >= kMaxSuspects) {
    suspects_.erase(std::min_element(
        suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
          return std::pair(a.second.state.crash_count(), a.second.changed_at) <
                 std::pair(b.second.state.crash_count(), b.second.changed_at);
        }));
  }
  return suspects_[request];
}

void CrashTracker::OnCrash(RequestDigest request,
                           std::uint64_t upstream,
                           Time now) {
  Suspect& suspect = FindOrAdd(request);
  const bool was_blocked = suspect.state.IsBlocked();
  if (suspect.state.AddCrash(upstream, now)) {
    OnOwnChange(request, was_blocked, now);
  }
}

void CrashTracker::OnAnswer(RequestDigest request, Time now) {
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) {
    return;
  }
  const bool was_blocked = found->second.state.IsBlocked();
  if (found->second.state.ClearUntil(now)) {
    OnOwnChange(request, was_blocked, now);
  }
}

void CrashTracker::OnOwnChange(RequestDigest request,
                               bool was_blocked,
                               Time now) {
  Suspect& suspect = suspects_.at(request);
  suspect.changed_at = now;
  suspect.reported_by.clear();
  suspect.for_domain = {ReportCountOf(suspect.state), now, {}};
  suspect.for_other_domains = suspect.for_domain;
  NotifyBlockChange(request, was_blocked, now);
  if (on_update_) {
    on_update_();
  }
}

void CrashTracker::NotifyBlockChange(RequestDigest request,
                                     bool was_blocked,
                                     Time now) {
  const bool blocked = suspects_.at(request).state.IsBlocked();
  if (blocked != was_blocked && on_block_change_) {
    on_block_change_({request, Decide(request, now), blocked});
  }
}

// Each host ranks the hosts that it considers alive. If hosts disagree on which
// hosts are alive, several of them may try the request, each once in a turn.
bool CrashTracker::IsTrialAllowed(RequestDigest request,
                                  const Suspect& suspect,
                                  Time now) const {
  if (now < suspect.state.BlockedUntil()) {
    return false;
  }
  const Time turn = TurnStart(suspect.state, now);
  if (suspect.last_trial_turn == turn) {
    return false;
  }
  const auto turn_number = (turn - suspect.state.BlockedUntil()) / kTrialTurn;
  const std::uint64_t seed =
      MixHashes(request, static_cast<std::uint64_t>(turn_number));
  const std::uint64_t own = MixHashes(own_hash_, seed);
  return std::all_of(others_.begin(), others_.end(),
                     [own, seed](std::uint64_t other) {
                       return MixHashes(other, seed) < own;
                     });
}

CrashDecision CrashTracker::Decide(RequestDigest request, Time now) const {
  const auto found = suspects_.find(request);
  if (found == suspects_.end() || found->second.state.crash_count() == 0) {
    return {};
  }
  const Suspect& suspect = found->second;
  CrashDecision decision;
  decision.crash_count = suspect.state.crash_count();
  decision.failed_trials = suspect.state.failed_trials();
  decision.age = now - suspect.state.LastCrashTime();
  decision.reported_by = suspect.reported_by;
  if (suspect.state.IsBlocked()) {
    decision.blocked = !IsTrialAllowed(request, suspect, now);
    const Duration time_left = suspect.state.BlockedUntil() - now;
    decision.retry_after =
        time_left > Duration::zero() ? time_left : kTrialTurn;
  }
  return decision;
}

bool CrashTracker::OnSent(RequestDigest request, Time now) {
  const auto found = suspects_.find(request);
  if (found == suspects_.end() || !found->second.state.IsBlocked()) {
    return false;
  }
  found->second.last_trial_turn = TurnStart(found->second.state, now);
  return true;
}

void CrashTracker::Tick(Time now) {
  std::vector<RequestDigest> released;
  std::erase_if(suspects_, [&](const auto& entry) {
    const bool expired = entry.second.state.IsExpired(now);
    if (expired && entry.second.state.IsBlocked()) {
      released.push_back(entry.first);
    }
    return expired;
  });
  for (const RequestDigest request : released) {
    if (on_block_change_) {
      on_block_change_({request, {}, false});
    }
  }
}

bool CrashTracker::PublishState::IsDue(const SuspectRequest& suspect,
                                       bool repeats_blocked,
                                       Time now) const {
  const bool again = repeats_blocked && suspect.IsBlocked() &&
                     now - suspect.LastCrashTime() < kRepeatWindow &&
                     now - last_sent >= kRepeatInterval;
  return again || (remaining > 0 && now >= due);
}

// A report has at most kMaxCrashEntries entries. Entries above this number are
// sent with the next report.
CrashReport CrashTracker::MakeReport(bool forward_to_domain,
                                     PublishState Suspect::*publish_state,
                                     bool repeats_blocked,
                                     Time now) {
  CrashReport report{domain_, host_, forward_to_domain, {}};
  for (auto& [request, suspect] : suspects_) {
    PublishState& publishing = suspect.*publish_state;
    if (now - suspect.changed_at > kUpdateTtl) {
      publishing.remaining = 0;
    }
    if (publishing.IsDue(suspect.state, repeats_blocked, now)) {
      report.entries.push_back(suspect.state.ToEntry(request, now));
    }
  }
  KeepMostSuspect(report.entries);
  for (const CrashEntry& entry : report.entries) {
    PublishState& publishing = suspects_.at(entry.request).*publish_state;
    publishing.remaining = std::max(0, publishing.remaining - 1);
    publishing.due = now + kReportInterval;
    publishing.last_sent = now;
  }
  return report;
}

CrashReport CrashTracker::OwnCrashes(bool is_reporter, Time now) {
  return MakeReport(false, &Suspect::for_domain, is_reporter, now);
}

CrashReport CrashTracker::DomainCrashes(Time now) {
  return MakeReport(true, &Suspect::for_other_domains, true, now);
}

CrashReport CrashTracker::CrashSnapshot(Time now) const {
  CrashReport report{domain_, host_, false, {}};
  for (const auto& [request, suspect] : suspects_) {
    if (suspect.state.crash_count() > 0) {
      report.entries.push_back(suspect.state.ToEntry(request, now));
    }
  }
  KeepMostSuspect(report.entries);
  return report;
}

bool CrashTracker::OnCrashReport(const CrashReport& report, Time now) {
  bool has_update = false;
  for (const CrashEntry& entry : report.entries) {
    Suspect& suspect = FindOrAdd(entry.request);
    const bool was_blocked = suspect.state.IsBlocked();
    if (!suspect.state.Merge(entry, now)) {
      continue;
    }
    has_update = true;
    suspect.changed_at = now;
    suspect.reported_by = report.host;
    if (report.domain == domain_) {
      suspect.for_other_domains = {ReportCountOf(suspect.state), now, {}};
    }
    NotifyBlockChange(entry.request, was_blocked, now);
  }
  return has_update;
}

}  // namespace pathcleat
