// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"
#include "pathcleat/steer/owner_table.hpp"

namespace pathcleat {

/// @brief What one host believes of the load of a pool (the slots of one
/// service at one owner, or in one failure domain).
/// @ingroup steer
struct PoolView {
  PoolLoad load;
  Time observed;       ///< when the load was true, on this host's clock
  int sent_since = 0;  ///< this host's sends after that moment
  int in_flight = 0;   ///< this host's own unanswered sends
};

/// @brief Expected wait at a pool before a slot is free.
///
/// The reported backlog fades with its age (an old report loses weight and
/// the host's own in-flight count takes over); own sends since the report are
/// added in full.
/// @ingroup steer
Duration ExpectedWait(const PoolView& view, Time now);

/// @brief Cost of one more request at a pool: its own expected wait, and what
/// it adds to the wait of those that come after it. A pool that is nearly
/// full costs more than its wait alone, so that work goes further away before
/// a queue has grown as long as the way.
/// @ingroup steer
Duration CrowdingCost(const PoolView& view, Time now);

/// @brief Free share of the slots, with the same treatment of age.
/// @return 0 to 1.
/// @ingroup steer
double Headroom(const PoolView& view, Time now);

}  // namespace pathcleat
