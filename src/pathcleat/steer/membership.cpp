// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/membership.hpp"

#include <algorithm>
#include <utility>

namespace pathcleat {
namespace {
// Own heartbeats remembered, to date the echoes.
constexpr std::size_t kRememberedSends = 64;
}  // namespace

Membership::Membership(SeatIndex self,
                       const std::vector<SeatIndex>& siblings,
                       const MembershipTiming& timing,
                       Time now)
    : self_(self), timing_(timing), last_tick_(now), awake_since_(now) {
  for (const SeatIndex seat : siblings) {
    if (seat != self) {
      siblings_[seat].silent_since = now;
    }
  }
}

std::optional<MembershipChange> Membership::OnHeartbeat(
    SeatIndex seat,
    std::uint64_t incarnation,
    std::uint64_t sequence,
    std::uint64_t echoed,
    bool leaving,
    std::vector<SeatIndex> claims,
    Time now) {
  const auto found = siblings_.find(seat);
  if (found == siblings_.end()) {
    return std::nullopt;
  }
  Sibling& sibling = found->second;
  sibling.incarnation = incarnation;
  sibling.sequence = sequence;
  sibling.heard = now;
  sibling.silent_since = now;
  sibling.leaving = leaving;
  sibling.claims = std::move(claims);
  const auto sent = sent_.find(echoed);
  if (sent != sent_.end()) {
    sibling.promised_until =
        std::max(sibling.promised_until, sent->second + timing_.claim_silence);
  }
  if (sibling.reported_alive) {
    return std::nullopt;
  }
  sibling.reported_alive = true;
  return MembershipChange{MembershipChange::Sort::kHeard, seat, {}};
}

void Membership::OnSent(std::uint64_t sequence, Time now) {
  sent_.emplace(sequence, now);
  if (sent_.size() > kRememberedSends) {
    sent_.erase(sent_.begin());
  }
}

std::vector<MembershipChange> Membership::Tick(Time now) {
  std::vector<MembershipChange> changes;
  const Duration gap = now - last_tick_;
  last_tick_ = now;
  const bool paused = gap > timing_.longest_gap;
  if (paused) {
    awake_since_ = now;
    changes.push_back({MembershipChange::Sort::kPaused, self_, gap});
  }
  for (auto& [seat, sibling] : siblings_) {
    if (paused) {
      // What was sent meanwhile may lie unread: silence starts anew.
      sibling.silent_since = now;
    }
    if (sibling.reported_alive && !IsAlive(seat, now)) {
      sibling.reported_alive = false;
      changes.push_back({MembershipChange::Sort::kSilent, seat, {}});
    }
  }
  return changes;
}

std::uint64_t Membership::EchoFor(SeatIndex seat) const {
  const auto found = siblings_.find(seat);
  return found == siblings_.end() ? 0 : found->second.sequence;
}

bool Membership::IsAlive(SeatIndex seat, Time now) const {
  if (seat == self_) {
    return true;
  }
  const auto found = siblings_.find(seat);
  return found != siblings_.end() && found->second.heard &&
         now - found->second.silent_since < timing_.silence;
}

bool Membership::IsLeaving(SeatIndex seat) const {
  if (seat == self_) {
    return leaving_;
  }
  const auto found = siblings_.find(seat);
  return found != siblings_.end() && found->second.leaving;
}

bool Membership::IsClaimable(SeatIndex seat, Time now) const {
  const auto found = siblings_.find(seat);
  const bool awake = now - last_tick_ <= timing_.longest_gap;
  return found != siblings_.end() && awake &&
         now - found->second.silent_since >= timing_.claim_silence;
}

SiblingEvidence Membership::Evidence(SeatIndex seat, Time now) const {
  SiblingEvidence evidence;
  for (const auto& [index, sibling] : siblings_) {
    if (!IsAlive(index, now)) {
      continue;
    }
    const bool claims = Claims(sibling, seat);
    evidence.is_claimed = evidence.is_claimed || claims;
    const Time promised = claims ? Time::min() : sibling.promised_until;
    evidence.promised_until =
        std::min(evidence.promised_until.value_or(promised), promised);
  }
  return evidence;
}

bool Membership::IsClaimedBySibling(SeatIndex seat, Time now) const {
  return std::any_of(
      siblings_.begin(), siblings_.end(), [&](const auto& entry) {
        return IsAlive(entry.first, now) && Claims(entry.second, seat);
      });
}

bool Membership::Claims(const Sibling& sibling, SeatIndex seat) {
  return std::find(sibling.claims.begin(), sibling.claims.end(), seat) !=
         sibling.claims.end();
}

std::vector<SeatIndex> Membership::Candidates(Time now) const {
  std::vector<SeatIndex> candidates;
  if (!leaving_) {
    candidates.push_back(self_);
  }
  for (const auto& [seat, sibling] : siblings_) {
    if (IsAlive(seat, now) && !sibling.leaving) {
      candidates.push_back(seat);
    }
  }
  std::sort(candidates.begin(), candidates.end());
  return candidates;
}

}  // namespace pathcleat
