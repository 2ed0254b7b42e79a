// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <functional>

#include "pathcleat/core/time.hpp"
#include "pathcleat/fleet/host_table.hpp"

namespace pathcleat {

/// @brief Chooses the host from which this host fetches missing data, among all
/// living hosts that have the data: the nearest host, and among equally near
/// hosts the one with the highest link capacity.
/// @param has_data predicate: whether a host with these versions has the data.
/// @param salt spreads the choice among equal hosts. Use another salt for each
/// fetch, so that a host that does not answer is not chosen every time.
/// @return null if no living host has the data.
/// @ingroup fleet
const HostEntry* ChooseUpToDateHost(
    const HostTable& hosts,
    const std::function<bool(const HostVersions&)>& has_data,
    std::uint64_t salt,
    Time now);

}  // namespace pathcleat
