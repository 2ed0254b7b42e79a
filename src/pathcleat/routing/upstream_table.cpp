// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/upstream_table.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

// About as many keys as an upstream of the users' services keeps cached.
constexpr std::size_t kRecentKeyCount = 48;
constexpr double kRateShareBurst = 1;
// No upstream of the users' services runs a request in less time.
constexpr double kMinRunSeconds = 0.05;
// Two limits count as equal if their relative difference is at most this.
constexpr double kLimitTolerance = 0.01;
// Rollout orders and the upstream list each reach a host within 0.5 s of the
// store's answer; the delay is twice that.
constexpr Duration kNewVersionDelay{1'000'000};

}  // namespace

UpstreamState::UpstreamState(const UpstreamInfo& entry)
    : info(entry),
      hash(StableHash(entry.id)),
      keys(kRecentKeyCount),
      rate_share(0, kRateShareBurst) {}

double UpstreamState::UsableSlots(double run_seconds, Time now) const {
  if (backoff.IsInForce(now)) {
    return 0;
  }
  const double slots = std::max(1, info.slots);
  const bool limited = run_seconds > 0 && limit.IsInForce(now);
  return limited ? std::min(slots, limit.PerSecond(now) * run_seconds) : slots;
}

UpstreamTable::UpstreamTable(
    std::map<std::string, std::string> region_of_domain,
    PolicySwitches policy)
    : region_of_domain_(std::move(region_of_domain)),
      policy_(std::move(policy)) {}

UpstreamPtr UpstreamTable::Add(const UpstreamInfo& entry, Time now) {
  auto upstream = std::make_shared<UpstreamState>(entry);
  upstream->load.SetRememberUsual(policy_.IsEnabled(Mechanism::kUsualLoad));
  upstream->open_from = OpenFrom(entry, now);
  by_id_[entry.id] = upstream;
  by_service_[entry.service].push_back(upstream);
  return upstream;
}

// A new version may belong to a rollout whose order has not arrived yet, so its
// upstreams open after a delay. The first version of a service opens at once.
Time UpstreamTable::OpenFrom(const UpstreamInfo& entry, Time now) {
  auto& versions = version_open_times_[entry.service];
  const bool is_first_version = versions.empty();
  const auto [version, added] = versions.try_emplace(
      entry.version, is_first_version ? Time() : now + kNewVersionDelay);
  return version->second;
}

bool UpstreamTable::Put(const UpstreamInfo& entry, Time now) {
  const auto listed = by_id_.find(entry.id);
  const bool restarted = listed != by_id_.end() &&
                         (listed->second->info.started_ms != entry.started_ms ||
                          listed->second->info.service != entry.service);
  if (restarted) {
    Remove(entry.id);
  }
  const UpstreamPtr upstream =
      restarted || listed == by_id_.end() ? Add(entry, now) : listed->second;
  ++revision_;
  upstream->info = entry;
  upstream->announced_leaving =
      leaving_ledger_.IsLeaving(entry.id, entry.started_ms);
  upstream->limit.SetCapacity(std::max(1, entry.slots) / kMinRunSeconds);
  upstream->lapse_deadline.reset();
  lapsed_ids_.erase(entry.id);
  upstream->region = region_of_domain_[entry.domain];
  if (policy_.IsEnabled(Mechanism::kAverageLoad)) {
    upstream->load.SetSharedAverage(AverageLoadOf(*upstream));
  }
  if (entry.cold_remaining > Duration::zero()) {
    TrackRateBound(upstream);
    upstream->cold_until =
        std::max(upstream->cold_until, now + entry.cold_remaining);
    upstream->keys.Clear();
  }
  return restarted;
}

void UpstreamTable::NoteLeavingKnown(const std::string& id, Time now) {
  const UpstreamPtr upstream = Find(id);
  if (upstream && !upstream->leaving_known_at) {
    upstream->leaving_known_at = now;
  }
}

void UpstreamTable::TrackRateBound(const UpstreamPtr& upstream) {
  if (!upstream->is_rate_bound_candidate) {
    upstream->is_rate_bound_candidate = true;
    rate_bound_candidates_.push_back(upstream);
  }
}

LimitChange UpstreamTable::UpdateLimit(const UpstreamPtr& upstream,
                                       const LimitObservation& update,
                                       Time now) {
  UpstreamLimit& limit = upstream->limit;
  const bool was_in_force = limit.IsInForce(now);
  const double before = was_in_force ? limit.PerSecond(now) : 0;
  if (!limit.Update(update)) {
    return LimitChange::kNone;
  }
  const bool is_in_force = limit.IsInForce(now);
  if (is_in_force) {
    TrackRateBound(upstream);
  }
  const double after = is_in_force ? limit.PerSecond(now) : 0;
  if (std::abs(after - before) <= before * kLimitTolerance) {
    return LimitChange::kNone;
  }
  ++revision_;
  if (was_in_force && is_in_force) {
    return LimitChange::kChanged;
  }
  return is_in_force ? LimitChange::kStarted : LimitChange::kEnded;
}

UpstreamPtr UpstreamTable::Find(const std::string& id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second;
}

std::shared_ptr<AverageLoad> UpstreamTable::AverageLoadOf(
    const UpstreamState& upstream) {
  auto& average = average_loads_[{upstream.info.service, upstream.region}];
  if (!average) {
    average = std::make_shared<AverageLoad>();
  }
  return average;
}

void UpstreamTable::Remove(const std::string& id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) {
    return;
  }
  const UpstreamPtr upstream = found->second;
  ++revision_;
  lapsed_ids_.erase(id);
  upstream->removed = true;
  std::erase(by_service_[upstream->info.service], upstream);
  by_id_.erase(found);
}

bool UpstreamTable::Lapse(const std::string& id, Time until) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end() || found->second->info.leaving ||
      found->second->announced_leaving) {
    return false;
  }
  if (!found->second->lapse_deadline) {
    found->second->lapse_deadline = until;
    lapsed_ids_.insert(id);
  }
  return true;
}

const std::vector<UpstreamPtr>& UpstreamTable::RateBoundCandidates(Time now) {
  const std::size_t count_before = rate_bound_candidates_.size();
  std::erase_if(rate_bound_candidates_, [now](const UpstreamPtr& upstream) {
    upstream->is_rate_bound_candidate =
        !upstream->removed && upstream->IsRateBounded(now);
    return !upstream->is_rate_bound_candidate;
  });
  // A rate limit of an upstream dropped above may have ended, which changes the
  // number of usable slots.
  revision_ += rate_bound_candidates_.size() < count_before ? 1 : 0;
  return rate_bound_candidates_;
}

std::vector<UpstreamPtr> UpstreamTable::LapsedUpstreams() const {
  std::vector<UpstreamPtr> lapsed;
  for (const std::string& id : lapsed_ids_) {
    lapsed.push_back(by_id_.at(id));
  }
  return lapsed;
}

void UpstreamTable::SetDomainDrained(const std::string& domain, bool drained) {
  ++revision_;
  if (drained) {
    drained_domains_.insert(domain);
  } else {
    drained_domains_.erase(domain);
  }
}

void UpstreamTable::SetOperatorDrains(std::set<std::string> upstreams,
                                      std::set<std::string> regions) {
  ++revision_;
  drained_upstreams_ = std::move(upstreams);
  drained_regions_ = std::move(regions);
}

const std::vector<UpstreamPtr>& UpstreamTable::ForService(
    std::string_view service) const {
  static const std::vector<UpstreamPtr> none;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? none : found->second;
}

// Drained upstreams count: a drain may end at any time, so it does not mean
// that their version no longer runs.
std::set<std::string> UpstreamTable::VersionsOf(
    std::string_view service) const {
  std::set<std::string> versions;
  for (const UpstreamPtr& upstream : ForService(service)) {
    if (!upstream->info.leaving && !upstream->announced_leaving) {
      versions.insert(upstream->info.version);
    }
  }
  return versions;
}

std::vector<UpstreamPtr> UpstreamTable::All() const {
  std::vector<UpstreamPtr> all;
  all.reserve(by_id_.size());
  for (const auto& [id, upstream] : by_id_) {
    all.push_back(upstream);
  }
  return all;
}

}  // namespace pathcleat
