// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <algorithm>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Least time that an attempt is given before another is made. Users'
/// target latencies lie between 0.2 and 1 s.
/// @ingroup calls
constexpr Duration kMinAttemptTime{400'000};

/// @brief How long an upstream may stay silent before another one is asked:
/// far longer than expected, but so that the other one has as much time again.
/// @param expected time until the answer, when it was sent.
/// @param left time until the caller must be answered.
/// @ingroup calls
inline Duration FailoverTimeoutFor(Duration expected, Duration left) {
  constexpr int kExpectedMultiple = 4;
  const Duration longest =
      std::max(kMinAttemptTime, expected * kExpectedMultiple);
  return std::max(std::min(longest, left / 2), expected * 2);
}

}  // namespace pathcleat
