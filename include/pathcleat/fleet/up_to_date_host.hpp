// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <functional>

#include "pathcleat/core/time.hpp"
#include "pathcleat/fleet/host_table.hpp"

namespace pathcleat {

/// @brief Whom a host asks for what it lacks, of all living hosts that know
/// it: the nearest, of these the one with the widest link.
/// @param knows whether a host that has come so far knows it.
/// @param salt spreads the choice among equals, also from one question to the
/// next, so that a host that does not answer is not asked for ever.
/// @return null if none knows it.
/// @ingroup fleet
const KnownHost* ChooseUpToDateHost(
    const HostTable& hosts,
    const std::function<bool(const HostVersions&)>& knows,
    std::uint64_t salt,
    Time now);

}  // namespace pathcleat
