// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <vector>

#include "pathcleat/core/time.hpp"
#include "pathcleat/rollouts/peer_decisions.hpp"

namespace pathcleat {

/// @brief Whether this host can have the newest decisions on rollouts: it hears
/// most hosts, and none of them has newer decisions, or it has just read the
/// command log. A host that was paused or is cut off cannot. Not thread-safe.
/// @ingroup rollouts
class DecisionFreshness {
 public:
  /// @brief Call a few times a second.
  /// @param commands version of this host's command log.
  void OnPeers(const std::vector<PeerDecisions>& peers,
               std::uint64_t commands,
               Time now);

  /// @param begun when the read of the command log began.
  void OnLogRead(Time begun);

  bool IsFresh(Time now) const;

 private:
  Time confirmed_at_;
};

}  // namespace pathcleat
