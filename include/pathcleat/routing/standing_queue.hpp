// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Tells a queue that stands from one that a burst has made: no
/// request has found it short for a while. A queue that stands makes
/// everything late without serving more, and goes only if less is sent.
/// After K. Nichols and V. Jacobson, "Controlling queue delay" (2012).
/// @ingroup routing
class StandingQueue {
 public:
  /// @brief A request found a short wait.
  void OnShort() { long_since_.reset(); }

  /// @brief A request found a wait that makes it late.
  void OnLong(Time now) {
    if (!long_since_) {
      long_since_ = now;
    }
  }

  bool IsStanding(Time now) const {
    return long_since_ && now - *long_since_ > kBurstTime;
  }

 private:
  static constexpr Duration kBurstTime{1'000'000};

  std::optional<Time> long_since_;
};

}  // namespace pathcleat
