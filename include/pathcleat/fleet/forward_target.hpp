// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "pathcleat/core/time.hpp"
#include "pathcleat/fleet/host_table.hpp"

namespace pathcleat {

/// @brief Criteria, besides the host table, for the host to which a request is
/// forwarded.
/// @ingroup fleet
struct ForwardCriteria {
  /// The configuration version by which the request was handled so far.
  std::uint64_t config_version = 0;
  /// Whether the request's body may enter a region.
  std::function<bool(const std::string& region)> may_enter;
  std::set<std::string> excluded;  ///< names of hosts that were tried
  /// Requests that this host has forwarded and that are in flight, by host.
  const std::map<std::string, int>& in_flight;
  std::uint64_t salt = 0;  ///< spreads the choice among equal hosts
};

/// @brief Chooses the host to which this host forwards a request that it cannot
/// send to an upstream itself: a living host that reaches the upstreams, of the
/// own region if one of these has room, and of these the one with the fewest
/// requests in flight from here for its capacity and load step.
/// @return null if there is none.
/// @ingroup fleet
const HostEntry* ChooseForwardTarget(const HostTable& hosts,
                                     const ForwardCriteria& criteria,
                                     Time now);

}  // namespace pathcleat
