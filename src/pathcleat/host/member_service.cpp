// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/member_service.hpp"

#include <algorithm>
#include <utility>

namespace pathcleat {
namespace {

// Bounds of a summary's lists; they keep a message small at any size.
constexpr std::size_t kMostContacts = 3;
constexpr std::size_t kMostSilentNamed = 4;

MembershipTiming TimingFrom(const Timing& timing) {
  MembershipTiming membership;
  membership.silence = timing.peer_silence;
  membership.claim_silence = timing.lease_length;
  membership.longest_gap =
      std::max(timing.heartbeat_period * 4, Duration(timing.peer_silence / 2));
  return membership;
}

void AddLoad(std::vector<ServiceLoad>& sums, const ServiceLoad& load) {
  const auto found = std::find_if(
      sums.begin(), sums.end(),
      [&load](const ServiceLoad& sum) { return sum.service == load.service; });
  if (found == sums.end()) {
    sums.push_back(load);
    return;
  }
  ServiceLoad& sum = *found;
  const auto slots = static_cast<std::uint32_t>(sum.slots + load.slots);
  if (slots > 0) {
    const std::uint64_t weighted = std::uint64_t{sum.latency_us} * sum.slots +
                                   std::uint64_t{load.latency_us} * load.slots;
    sum.latency_us = static_cast<std::uint32_t>(weighted / slots);
  }
  sum.slots = static_cast<std::uint16_t>(sum.slots + load.slots);
  sum.free = static_cast<std::uint16_t>(sum.free + load.free);
  sum.waiting = static_cast<std::uint16_t>(sum.waiting + load.waiting);
}

}  // namespace

MemberService::MemberService(const HostSettings& settings, EventLog& events)
    : settings_(settings),
      events_(events),
      membership_(settings.seat,
                  settings.deployment.SeatsIn(settings.self().domain),
                  TimingFrom(settings.deployment.timing),
                  BootClock::now()) {}

void MemberService::OnHeartbeat(const StateMessage& message,
                                const Heartbeat& heartbeat,
                                Time now) {
  std::optional<MembershipChange> change;
  {
    const std::lock_guard lock(mutex_);
    change = membership_.OnHeartbeat(message.sender, message.incarnation,
                                     message.sequence, heartbeat.echoed,
                                     heartbeat.leaving, heartbeat.claims, now);
    SiblingState& sibling = siblings_[message.sender];
    sibling.seat = message.sender;
    sibling.leaving = heartbeat.leaving;
    sibling.config_version = heartbeat.config_version;
    sibling.loads = heartbeat.loads;
    sibling.observed = now;
  }
  if (change) {
    Report(*change);
  }
}

std::vector<DomainSummary> MemberService::OnGossip(const Gossip& gossip,
                                                   Time now) {
  std::vector<DomainSummary> newer;
  const std::size_t domains = settings_.deployment.domains.size();
  const std::lock_guard lock(mutex_);
  for (const DomainSummary& summary : gossip.summaries) {
    const bool known = summary.domain.value < domains &&
                       summary.domain != settings_.self().domain;
    if (!known) {
      continue;
    }
    DomainState& kept = domains_[summary.domain];
    if (summary.computed > kept.summary.computed) {
      kept.summary = summary;
      kept.observed = now - std::chrono::milliseconds(summary.age_ms);
      newer.push_back(summary);
    }
  }
  return newer;
}

void MemberService::OnSent(std::uint64_t sequence, Time now) {
  const std::lock_guard lock(mutex_);
  membership_.OnSent(sequence, now);
}

void MemberService::Tick(Time now) {
  std::vector<MembershipChange> changes;
  {
    const std::lock_guard lock(mutex_);
    changes = membership_.Tick(now);
  }
  for (const MembershipChange& change : changes) {
    Report(change);
  }
}

void MemberService::SetLeaving() {
  const std::lock_guard lock(mutex_);
  membership_.SetLeaving();
}

void MemberService::Report(const MembershipChange& change) {
  const std::string name = settings_.deployment.At(change.seat).name;
  switch (change.sort) {
    case MembershipChange::Sort::kHeard:
      events_.Record(EventCode::kPeerHeard, name, "heartbeats arrive");
      break;
    case MembershipChange::Sort::kSilent:
      events_.Record(EventCode::kPeerSilent, name, "heartbeats have stopped");
      break;
    case MembershipChange::Sort::kPaused:
      events_.Record(
          EventCode::kPauseDetected, name,
          "this process stood still for " +
              std::to_string(static_cast<int>(ToMilliseconds(change.length))) +
              " ms; permits to send are checked anew");
      break;
  }
}

std::uint64_t MemberService::EchoFor(SeatIndex seat) const {
  const std::lock_guard lock(mutex_);
  return membership_.EchoFor(seat);
}

bool MemberService::IsClaimable(SeatIndex seat, Time now) const {
  const std::lock_guard lock(mutex_);
  return membership_.IsClaimable(seat, now);
}

Time MemberService::AwakeSince() const {
  const std::lock_guard lock(mutex_);
  return membership_.awake_since();
}

bool MemberService::IsAlive(SeatIndex seat, Time now) const {
  const std::lock_guard lock(mutex_);
  return membership_.IsAlive(seat, now);
}

bool MemberService::IsLeaving(SeatIndex seat) const {
  const std::lock_guard lock(mutex_);
  return membership_.IsLeaving(seat);
}

SiblingEvidence MemberService::Evidence(SeatIndex seat, Time now) const {
  const std::lock_guard lock(mutex_);
  return membership_.Evidence(seat, now);
}

bool MemberService::IsClaimedBySibling(SeatIndex seat, Time now) const {
  const std::lock_guard lock(mutex_);
  return membership_.IsClaimedBySibling(seat, now);
}

std::vector<SeatIndex> MemberService::Candidates(Time now) const {
  const std::lock_guard lock(mutex_);
  return membership_.Candidates(now);
}

std::vector<SiblingState> MemberService::Siblings(Time now) const {
  const std::lock_guard lock(mutex_);
  std::vector<SiblingState> siblings;
  for (const SeatIndex seat :
       settings_.deployment.SeatsIn(settings_.self().domain)) {
    if (seat == settings_.seat) {
      continue;
    }
    const auto found = siblings_.find(seat);
    SiblingState state =
        found == siblings_.end() ? SiblingState{} : found->second;
    state.seat = seat;
    state.alive = membership_.IsAlive(seat, now);
    siblings.push_back(std::move(state));
  }
  return siblings;
}

DomainSummary MemberService::OwnSummary(
    const std::vector<ServiceLoad>& own_loads,
    std::uint64_t own_config_version,
    bool self_leaving,
    Time now) const {
  DomainSummary summary;
  summary.domain = settings_.self().domain;
  summary.computed = events_.clock().Tick(WallMicros());
  summary.lowest_config_version = own_config_version;
  summary.hosts_heard = 1;
  summary.loads = own_loads;
  if (!self_leaving) {
    summary.contacts.push_back(settings_.seat);
  }
  for (const SiblingState& sibling : Siblings(now)) {
    if (!sibling.alive) {
      if (summary.silent.size() < kMostSilentNamed) {
        summary.silent.push_back(sibling.seat);
      }
      continue;
    }
    ++summary.hosts_heard;
    summary.lowest_config_version =
        std::min(summary.lowest_config_version, sibling.config_version);
    if (!sibling.leaving && summary.contacts.size() < kMostContacts) {
      summary.contacts.push_back(sibling.seat);
    }
    for (const ServiceLoad& load : sibling.loads) {
      AddLoad(summary.loads, load);
    }
  }
  return summary;
}

std::vector<DomainState> MemberService::Domains() const {
  const std::lock_guard lock(mutex_);
  std::vector<DomainState> domains;
  for (const auto& [index, state] : domains_) {
    domains.push_back(state);
  }
  return domains;
}

std::optional<DomainState> MemberService::Find(DomainIndex domain) const {
  const std::lock_guard lock(mutex_);
  const auto found = domains_.find(domain);
  if (found == domains_.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace pathcleat
