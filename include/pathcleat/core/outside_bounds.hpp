// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <algorithm>
#include <chrono>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Maximum duration that is taken from another process: no time limit,
/// age or ramp is longer, and sums of such durations and times do not overflow.
/// @ingroup core
inline constexpr Duration kMaxOutsideDuration = std::chrono::hours(24);

/// @brief Maximum rate a second, weight or other quantity that is taken from
/// another process. No fleet handles so many requests a second.
/// @ingroup core
inline constexpr double kMaxOutsideQuantity = 1e9;

/// @brief Maximum number of slots, attempts or connections that is taken from
/// another process.
/// @ingroup core
inline constexpr int kMaxOutsideCount = 1'000'000;

/// @brief Whether a duration is not negative and at most kMaxOutsideDuration.
/// @ingroup core
constexpr bool IsInOutsideRange(Duration value) {
  return value >= Duration::zero() && value <= kMaxOutsideDuration;
}

/// @brief Whether a quantity is a number from 0 to kMaxOutsideQuantity.
/// @ingroup core
constexpr bool IsInOutsideRange(double value) {
  return value >= 0 && value <= kMaxOutsideQuantity;
}

/// @brief The nearest duration from 0 to kMaxOutsideDuration.
/// @ingroup core
constexpr Duration ClampOutside(Duration value) {
  return std::clamp(value, Duration::zero(), kMaxOutsideDuration);
}

/// @brief The nearest quantity from 0 to kMaxOutsideQuantity, for a finite
/// value.
/// @ingroup core
constexpr double ClampOutside(double value) {
  return std::clamp(value, 0.0, kMaxOutsideQuantity);
}

/// @brief The nearest count from 0 to kMaxOutsideCount.
/// @ingroup core
constexpr int ClampOutside(int value) {
  return std::clamp(value, 0, kMaxOutsideCount);
}

}  // namespace pathcleat
