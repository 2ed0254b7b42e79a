// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <vector>

#include "pathcleat/host/shared.hpp"

namespace pathcleat {

/// @brief An entry host in an answer to "locate".
/// @ingroup host
struct LocatedHost {
  SeatIndex seat;
  Duration latency{0};  ///< one way, from the caller's region
};

/// @brief Which entry hosts a caller should use, nearest first. Hosts that
/// are leaving or not heard are never among them.
/// @param caller IPv4 address as text.
/// @ingroup host
std::vector<LocatedHost> Locate(const Shared& shared,
                                const std::string& caller);

/// @brief The answer's JSON: hosts with address and port, and the time for
/// which a caller may keep it.
/// @ingroup host
std::string LocateJson(const Shared& shared, const std::string& caller);

}  // namespace pathcleat
