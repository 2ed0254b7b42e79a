// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "pathcleat/core/index.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/steer/seat_lease.hpp"

namespace pathcleat {

/// @brief Periods of membership.
/// @ingroup steer
struct MembershipTiming {
  Duration silence{1'500'000};        ///< unheard this long: taken for dead
  Duration claim_silence{6'000'000};  ///< unheard this long: seat claimable
  Duration longest_gap{1'000'000};    ///< own ticks further apart: was paused
};

/// @brief Something that changed in a failure domain's membership.
/// @ingroup steer
struct MembershipChange {
  enum class Sort { kHeard, kSilent, kPaused };
  Sort sort = Sort::kHeard;
  SeatIndex seat;      ///< for kHeard and kSilent
  Duration length{0};  ///< for kPaused
};

/// @brief Which hosts of this failure domain live, from their heartbeats and
/// nothing else. Also keeps the promises that siblings give by echoing this
/// host's heartbeats: who has heard a host will not claim its seat for a
/// lease's length. Not thread-safe.
/// @ingroup steer
class Membership {
 public:
  Membership(SeatIndex self,
             const std::vector<SeatIndex>& siblings,
             const MembershipTiming& timing,
             Time now);

  /// @brief A sibling's heartbeat arrived.
  /// @param echoed the newest of this host's heartbeats it had heard; 0: none.
  /// @param claims seats that it holds or may hold.
  std::optional<MembershipChange> OnHeartbeat(SeatIndex seat,
                                              std::uint64_t incarnation,
                                              std::uint64_t sequence,
                                              std::uint64_t echoed,
                                              bool leaving,
                                              std::vector<SeatIndex> claims,
                                              Time now);

  /// @brief This host sends heartbeat number sequence now.
  void OnSent(std::uint64_t sequence, Time now);

  /// @brief Call at every heartbeat period.
  std::vector<MembershipChange> Tick(Time now);

  /// @brief Since when this host has run without a pause, and so has heard
  /// whoever there was to be heard.
  Time awake_since() const { return awake_since_; }

  /// @brief Number to echo to a sibling: the newest heard of it.
  std::uint64_t EchoFor(SeatIndex seat) const;

  bool IsAlive(SeatIndex seat, Time now) const;
  bool IsLeaving(SeatIndex seat) const;

  /// @brief Whether a seat's host has been silent so long, while this host
  /// was awake, that no promise of ours to it is in force any more.
  bool IsClaimable(SeatIndex seat, Time now) const;

  /// @brief What the siblings have promised about a seat of this host.
  SiblingEvidence Evidence(SeatIndex seat, Time now) const;

  /// @brief Whether a living sibling holds, or may hold, a seat.
  bool IsClaimedBySibling(SeatIndex seat, Time now) const;

  /// @brief Living seats that are not leaving, this one included unless it
  /// is leaving itself.
  std::vector<SeatIndex> Candidates(Time now) const;

  void SetLeaving() { leaving_ = true; }

 private:
  struct Sibling {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::optional<Time> heard;
    Time silent_since;
    Time promised_until;
    bool leaving = false;
    std::vector<SeatIndex> claims;
    bool reported_alive = false;
  };

  static bool Claims(const Sibling& sibling, SeatIndex seat);

  SeatIndex self_;
  MembershipTiming timing_;
  std::map<SeatIndex, Sibling> siblings_;
  std::map<std::uint64_t, Time> sent_;
  Time last_tick_;
  Time awake_since_;
  bool leaving_ = false;
};

}  // namespace pathcleat
