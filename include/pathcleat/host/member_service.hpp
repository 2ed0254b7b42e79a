// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "pathcleat/core/event_log.hpp"
#include "pathcleat/core/lock_rank.hpp"
#include "pathcleat/settings/host_settings.hpp"
#include "pathcleat/steer/membership.hpp"
#include "pathcleat/wire/state_message.hpp"

namespace pathcleat {

/// @brief What is known of one sibling, for operators and routing.
/// @ingroup host
struct SiblingState {
  SeatIndex seat;
  bool alive = false;
  bool leaving = false;
  std::uint64_t config_version = 0;
  std::vector<ServiceLoad> loads;
  Time observed;
};

/// @brief What is known of one failure domain.
/// @ingroup host
struct DomainState {
  DomainSummary summary;
  Time observed;  ///< when it was true, on this host's clock
};

/// @brief Who lives, shared by all threads of a host: the siblings by their
/// heartbeats, other failure domains by gossiped summaries. Thread-safe.
/// @ingroup host
class MemberService {
 public:
  MemberService(const HostSettings& settings, EventLog& events);

  void OnHeartbeat(const StateMessage& message,
                   const Heartbeat& heartbeat,
                   Time now);

  /// @brief Takes over summaries that are newer than the ones kept.
  /// @return those that were.
  std::vector<DomainSummary> OnGossip(const Gossip& gossip, Time now);

  void OnSent(std::uint64_t sequence, Time now);
  void Tick(Time now);
  void SetLeaving();

  std::uint64_t EchoFor(SeatIndex seat) const;
  bool IsClaimable(SeatIndex seat, Time now) const;
  Time AwakeSince() const;
  bool IsAlive(SeatIndex seat, Time now) const;
  bool IsLeaving(SeatIndex seat) const;
  SiblingEvidence Evidence(SeatIndex seat, Time now) const;
  bool IsClaimedBySibling(SeatIndex seat, Time now) const;
  std::vector<SeatIndex> Candidates(Time now) const;
  std::vector<SiblingState> Siblings(Time now) const;

  /// @brief This failure domain's summary, made of this host's own load and
  /// its siblings'.
  DomainSummary OwnSummary(const std::vector<ServiceLoad>& own_loads,
                           std::uint64_t own_config_version,
                           bool self_leaving,
                           Time now) const;

  /// @brief All other failure domains heard of, oldest sent first, their ages
  /// brought up to date.
  std::vector<DomainState> Domains() const;
  std::optional<DomainState> Find(DomainIndex domain) const;

 private:
  void Report(const MembershipChange& change);

  const HostSettings& settings_;
  EventLog& events_;
  mutable RankedMutex mutex_{LockRank::kMembership};
  Membership membership_;
  std::map<SeatIndex, SiblingState> siblings_;
  std::map<DomainIndex, DomainState> domains_;
};

}  // namespace pathcleat
