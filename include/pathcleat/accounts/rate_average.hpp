// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <algorithm>
#include <cmath>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Exponentially weighted average of events a second. Not thread-safe.
/// @ingroup accounts
class RateAverage {
 public:
  /// @brief Adds an event, or withdraws one.
  /// @param count 1 to add, -1 to withdraw.
  void Add(double count, Time now) {
    value_ = std::max(0.0, PerSecond(now) + count / kDecaySeconds);
    updated_at_ = now;
  }

  double PerSecond(Time now) const {
    const double age = std::chrono::duration<double>(now - updated_at_).count();
    return value_ * std::exp(-std::max(0.0, age) / kDecaySeconds);
  }

 private:
  // The decay time is two report intervals. With a shorter time, single events
  // at a few requests a second look like a surge. With a longer time, a surge
  // is detected late: with 2 s, the window with the most requests in the
  // model's scenario "60% killed in a rush" has 1.11 times the requests that a
  // window may have; with 1 s, 0.97 times.
  static constexpr double kDecaySeconds = 1;

  double value_ = 0;
  Time updated_at_;
};

}  // namespace pathcleat
