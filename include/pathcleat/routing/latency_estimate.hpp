// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Moving average of a duration that is measured repeatedly.
/// @ingroup routing
class LatencyEstimate {
 public:
  explicit LatencyEstimate(Duration first) : value_(first) {}

  void Add(Duration sample) {
    constexpr int kWeightDivisor = 16;
    value_ += (sample - value_) / kWeightDivisor;
  }
  Duration value() const { return value_; }

 private:
  Duration value_;
};

}  // namespace pathcleat
