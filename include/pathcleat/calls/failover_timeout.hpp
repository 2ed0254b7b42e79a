// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <algorithm>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Minimum failover time-out, unless less than twice this time is left.
/// The value lies within the range of routes' target latencies, 0.2 to 1 s.
/// @ingroup calls
constexpr Duration kMinAttemptTime{400'000};

/// @brief How long to wait for an upstream before another one is tried: far
/// longer than expected, but at most half of the time left, so that the other
/// upstream has as much time. If half of the time left is less than twice the
/// expected time, the result is twice the expected time.
/// @param expected time from sending to the answer, as expected when sending.
/// @param left time until the caller must be answered.
/// @ingroup calls
inline Duration FailoverTimeoutFor(Duration expected, Duration left) {
  constexpr int kExpectedMultiple = 4;
  const Duration preferred =
      std::max(kMinAttemptTime, expected * kExpectedMultiple);
  return std::max(std::min(preferred, left / 2), expected * 2);
}

}  // namespace pathcleat
