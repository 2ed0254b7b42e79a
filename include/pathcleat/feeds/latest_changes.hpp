// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <vector>

#include "pathcleat/store/fleet_change.hpp"

namespace pathcleat {

/// @brief Keeps only the last change of each upstream. One answer of a watch
/// may contain several changes of the same entry, for example its removal and
/// its return, and only the last one still holds.
/// @param changes changes of the upstream list, in order; changes of other
/// kinds are kept as they are.
/// @ingroup feeds
std::vector<FleetChange> LatestChanges(const std::vector<FleetChange>& changes);

}  // namespace pathcleat
