// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <algorithm>
#include <cmath>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Ratio of an upstream's run times to the usual run times, estimated
/// from completed runs and from requests left unanswered. The estimate decays
/// to 1 without new samples, so that a recovered upstream is used again. Not
/// thread-safe.
/// @ingroup routing
class Slowness {
 public:
  /// @brief The ratio now; 1 is the usual speed.
  double Value(Time now) const {
    const double age = std::chrono::duration<double>(now - updated_).count();
    return 1 + (value_ - 1) * std::exp(-std::max(0.0, age) / kDecaySeconds);
  }

  /// @brief Adds a completed run that took `ratio` times the usual run time.
  void OnRun(double ratio, Time now) { AddSample(ratio, now); }

  /// @brief Adds a request that had no answer after `ratio` times the usual
  /// time. The request's full run time may be longer still, so the sample never
  /// lowers the estimate.
  void OnNoAnswer(double ratio, Time now) {
    if (ratio > Value(now)) {
      AddSample(ratio, now);
    }
  }

 private:
  // Weight of one sample: run times of one kind vary by 15%, while a slow
  // upstream is slower by a factor of several.
  static constexpr double kSampleWeight = 0.25;
  static constexpr double kMinRatio = 0.8;
  static constexpr double kMaxRatio = 8;
  // Incidents slow an upstream down for 4 to 7 s; the decay time is slightly
  // longer.
  static constexpr double kDecaySeconds = 8;

  void AddSample(double ratio, Time now) {
    const double before = Value(now);
    value_ = std::clamp(
        before + (std::min(ratio, kMaxRatio) - before) * kSampleWeight,
        kMinRatio, kMaxRatio);
    updated_ = now;
  }

  double value_ = 1;
  Time updated_;
};

}  // namespace pathcleat
