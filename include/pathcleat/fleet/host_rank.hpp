// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>

#include "pathcleat/fleet/host_info.hpp"
#include "pathcleat/fleet/host_table.hpp"

namespace pathcleat {

/// @brief Whether a host ranks ahead of another one for work that serves many:
/// the widest links first, then by a hash that all hosts reckon alike.
/// @ingroup fleet
bool RanksAhead(const HostInfo& a, const HostInfo& b);

/// @brief How many other hosts of a host's failure domain rank ahead of it and
/// are not leaving.
/// @param counts whether a host is to be counted.
/// @ingroup fleet
int CountHigherRanked(const HostTable& hosts,
                      const HostInfo& ranked,
                      const std::function<bool(const KnownHost&)>& counts);

}  // namespace pathcleat
