// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <map>

#include "pathcleat/settings/host_settings.hpp"

namespace pathcleat {

/// @brief This host's exact shares of the limits on links out of its region,
/// by the region they lead to; a region without a limit is left out.
/// @ingroup host
std::map<RegionIndex, int> ShareLinks(const HostSettings& settings);

}  // namespace pathcleat
