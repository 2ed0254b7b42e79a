// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <algorithm>
#include <cmath>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief How many events a second there are now: each counts less the older
/// it is. Not thread-safe.
/// @ingroup accounts
class RateAverage {
 public:
  /// @brief An event, or the withdrawal of one.
  /// @param count 1, or -1.
  void Add(double count, Time now) {
    value_ = std::max(0.0, PerSecond(now) + count / kFadeSeconds);
    last_ = now;
  }

  double PerSecond(Time now) const {
    const double age = std::chrono::duration<double>(now - last_).count();
    return value_ * std::exp(-std::max(0.0, age) / kFadeSeconds);
  }

 private:
  // Two rounds of reports. Shorter, and a few requests a second look like a
  // rush each time one comes; longer, and a rush is seen late: at 2 s a window
  // held 1.11 of what it may in the model's "60% killed in a rush", for 0.97.
  static constexpr double kFadeSeconds = 1;

  double value_ = 0;
  Time last_;
};

}  // namespace pathcleat
