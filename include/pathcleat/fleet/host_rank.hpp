// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/fleet/host_info.hpp"

namespace pathcleat {

/// @brief Whether a host ranks ahead of another one for work that serves many:
/// the widest links first, then by a hash that all hosts reckon alike.
/// @ingroup fleet
bool RanksAhead(const HostInfo& a, const HostInfo& b);

}  // namespace pathcleat
