// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <vector>

#include "pathcleat/core/time.hpp"
#include "pathcleat/rollouts/peer_decisions.hpp"

namespace pathcleat {

/// @brief Other hosts that may still send to the old versions of a promoted
/// rollout.
/// @ingroup rollouts
struct RemainingSenders {
  int behind = 0;  ///< heard lately, without the promotion
  int silent = 0;  ///< not heard lately; they may have work in flight
};

/// @brief Hosts that may send to the old versions, by identity: a count of
/// hosts that report the promotion would include a host that has restarted or
/// left, and so hide one that lacks the promotion.
/// @param promotion version of the command log with the promotion.
/// @param timeout of the order; hosts that were silent for longer are not
/// waited for.
/// @ingroup rollouts
RemainingSenders CountRemainingSenders(const std::vector<PeerDecisions>& peers,
                                       std::uint64_t promotion,
                                       Duration timeout);

/// @brief Time after the start of a rollout from which silent hosts are not
/// waited for.
/// @ingroup rollouts
Duration SilentHostWait(Duration timeout);

/// @brief Time after the start of a rollout from which a host that cannot know
/// the newest decisions sends nothing to the old versions. It is shorter than
/// SilentHostWait, as clocks differ and requests take time to be written.
/// @ingroup rollouts
Duration OldVersionsWithoutNews(Duration timeout);

}  // namespace pathcleat
