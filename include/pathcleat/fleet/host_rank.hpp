// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>

#include "pathcleat/fleet/host_info.hpp"
#include "pathcleat/fleet/host_table.hpp"

namespace pathcleat {

/// @brief Whether host `a` ranks ahead of host `b` for work done on behalf of
/// other hosts: by link capacity, then by processor cores, then by a hash of
/// the name; every host computes the same result.
/// @ingroup fleet
bool RanksAhead(const HostInfo& a, const HostInfo& b);

/// @brief Number of hosts in the table that are in the failure domain of
/// `ranked`, rank ahead of it and are not leaving.
/// @param counts predicate: whether to include a host.
/// @ingroup fleet
int CountHigherRanked(const HostTable& hosts,
                      const HostInfo& ranked,
                      const std::function<bool(const HostEntry&)>& counts);

}  // namespace pathcleat
