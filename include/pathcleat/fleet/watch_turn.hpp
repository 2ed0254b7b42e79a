// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"
#include "pathcleat/fleet/host_table.hpp"

namespace pathcleat {

/// @brief The place of a host in the order in which the hosts that watch the
/// store get its answers.
/// @ingroup fleet
struct WatchTurn {
  int position = 0;  ///< 0 to count - 1
  int count = 1;     ///< hosts that watch the store
};

/// @brief Number of hosts of each failure domain that watch the store.
/// @param domains number of failure domains of the fleet.
/// @ingroup fleet
int WatchersOfDomain(int domains);

/// @brief This host's turn among the hosts that watch the store. The hosts of a
/// fleet that hear each other compute different positions and the same count.
/// @param domains number of failure domains of the fleet.
/// @ingroup fleet
WatchTurn TurnAmongWatchers(const HostTable& hosts, int domains, Time now);

}  // namespace pathcleat
