// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <algorithm>
#include <concepts>
#include <limits>

namespace pathcleat {

/// @brief The sum of two counts, at most the largest number of their type. For
/// sums of counts that other hosts sent.
/// @ingroup core
template <std::unsigned_integral Number>
constexpr Number AddSaturated(Number a, Number b) {
  const Number room =
      static_cast<Number>(std::numeric_limits<Number>::max() - a);
  return static_cast<Number>(a + std::min(room, b));
}

}  // namespace pathcleat
