// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <algorithm>
#include <cmath>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Estimated probability that an upstream answers the next request with
/// an error or rejects it. An upstream that does so is fast and has free slots,
/// so by latency and load alone it would attract requests. The estimate decays
/// to 0 without new samples, so that a recovered upstream is used again. Not
/// thread-safe.
/// @ingroup routing
class ErrorShare {
 public:
  /// @brief The probability now, in [0, 1].
  double Value(Time now) const {
    const double age = std::chrono::duration<double>(now - updated_).count();
    return value_ * std::exp(-std::max(0.0, age) / kDecaySeconds);
  }

  /// @brief Adds an answer.
  void OnAnswer(bool is_error, Time now) {
    const double before = Value(now);
    value_ = before + ((is_error ? 1 : 0) - before) * kSampleWeight;
    updated_ = now;
  }

 private:
  static constexpr double kSampleWeight = 0.25;
  // As long as an upstream that slows down takes to recover; see Slowness.
  static constexpr double kDecaySeconds = 8;

  double value_ = 0;
  Time updated_;
};

}  // namespace pathcleat
