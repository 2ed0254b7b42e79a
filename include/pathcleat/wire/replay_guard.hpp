// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>

#include "pathcleat/core/hybrid_clock.hpp"
#include "pathcleat/core/index.hpp"
#include "pathcleat/wire/state_message.hpp"

namespace pathcleat {

/// @brief Lets each datagram of a sender through once, in rising order, and
/// none of an earlier process in the same seat. Not thread-safe.
/// @ingroup wire
class ReplayGuard {
 public:
  /// @brief Whether a datagram, whose seal is right, is new.
  /// @param wall_micros this host's wall clock; a sender heard for the first
  /// time must be within a minute of it.
  bool Accept(const StateMessage& message, std::uint64_t wall_micros);

 private:
  struct Newest {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
  };
  std::map<SeatIndex, Newest> newest_;
};

}  // namespace pathcleat
