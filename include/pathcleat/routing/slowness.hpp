// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <algorithm>
#include <cmath>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief How many times as long as usual an upstream's runs take, learned
/// from runs and from waiting in vain. What is not confirmed is forgotten, so
/// that an upstream which has recovered is tried again. Not thread-safe.
/// @ingroup routing
class Slowness {
 public:
  double Value(Time now) const {
    const double age = std::chrono::duration<double>(now - learned_).count();
    return 1 + (value_ - 1) * std::exp(-std::max(0.0, age) / kForgetSeconds);
  }

  /// @brief A run took this many times as long as usual.
  void OnRun(double ratio, Time now) { Learn(ratio, now); }

  /// @brief No answer came for this many times as long as usual: it is at
  /// least as slow as that.
  void OnNoAnswer(double ratio, Time now) {
    if (ratio > Value(now)) {
      Learn(ratio, now);
    }
  }

 private:
  // Of one run's ratio so much is believed: run times of one kind vary by 15%,
  // while a slow upstream is slow by a factor of several.
  static constexpr double kWeight = 0.25;
  static constexpr double kLeast = 0.8;
  static constexpr double kMost = 8;
  // About as long as upstreams stay slow in the incidents seen (4 to 7 s).
  static constexpr double kForgetSeconds = 8;

  void Learn(double ratio, Time now) {
    const double before = Value(now);
    value_ = std::clamp(before + (std::min(ratio, kMost) - before) * kWeight,
                        kLeast, kMost);
    learned_ = now;
  }

  double value_ = 1;
  Time learned_;
};

}  // namespace pathcleat
