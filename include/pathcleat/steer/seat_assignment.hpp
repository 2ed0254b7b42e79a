// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string_view>
#include <vector>

#include "pathcleat/core/index.hpp"

namespace pathcleat {

/// @brief A seat and its stable name.
/// @ingroup steer
struct NamedSeat {
  SeatIndex seat;
  std::string_view name;
};

/// @brief The seat that owns an upstream: the highest rendezvous hash of the
/// two names (Thaler and Ravishankar, 1998). Adding a seat moves only the
/// upstreams it wins.
/// @param seats the seats of the upstream's failure domain; not empty.
/// @ingroup steer
SeatIndex OwningSeat(std::string_view upstream_name,
                     const std::vector<NamedSeat>& seats);

}  // namespace pathcleat
