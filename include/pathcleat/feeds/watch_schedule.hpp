// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"
#include "pathcleat/fleet/watch_turn.hpp"

namespace pathcleat {

/// @brief How long the watches of the store wait, and when a host stops
/// trusting its watch.
///
/// A store that fell silent may have taken a watch without ever answering it,
/// so a watch in flight shows nothing. Only answers do. The waits of all
/// watches are spread so that the store answers some host of the fleet at short
/// intervals, and hosts tell each other the age of its last answer. If no
/// host has had an answer for too long, each host restarts its own watch. The
/// limit follows from the time within which hosts must be in contact with the
/// store once it answers again.
/// @ingroup feeds
class WatchSchedule {
 public:
  /// @param contact time after the store answers again within which each host
  /// must receive its changes.
  explicit WatchSchedule(Duration contact) { SetContact(contact); }

  void SetContact(Duration contact);

  /// @brief Wait of a watch that all hosts begin at about the same time: after
  /// a change, a read or a restart.
  Duration FirstWait(const WatchTurn& turn) const;

  /// @brief Wait of a watch that follows one answered without changes.
  Duration NextWait(const WatchTurn& turn) const;

  /// @brief Whether the store's last answer to any host is so old that this
  /// host restarts its watch.
  /// @param delay_share 0 to 1, different at each host: spreads the restarts.
  bool IsOverdue(Duration answer_age, double delay_share) const;

 private:
  Duration Spacing(const WatchTurn& turn) const;

  Duration contact_{0};
};

}  // namespace pathcleat
