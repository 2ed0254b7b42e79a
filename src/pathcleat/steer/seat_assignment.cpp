// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/seat_assignment.hpp"

#include <algorithm>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {

SeatIndex OwningSeat(std::string_view upstream_name,
                     const std::vector<NamedSeat>& seats) {
  const auto weight = [upstream_name](const NamedSeat& seat) {
    return StableHash(seat.name, StableHash(upstream_name));
  };
  const auto best = std::max_element(seats.begin(), seats.end(),
                                     [&weight](const auto& a, const auto& b) {
                                       return weight(a) < weight(b);
                                     });
  return best->seat;
}

}  // namespace pathcleat
