// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Counts durations in fixed buckets, so that a monitoring system can
/// add up the counts of several processes. Not thread-safe.
/// @ingroup core
class Histogram {
 public:
  /// Upper bounds of the buckets in seconds; the last bucket is unbounded.
  static constexpr std::array<double, 12> kBucketBounds = {
      0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};

  void Add(Duration duration);

  /// @brief Number of durations up to kBucketBounds[bound]; the number of all
  /// durations if bound is kBucketBounds.size().
  std::uint64_t CountUpTo(std::size_t bound) const;
  double sum_seconds() const { return sum_seconds_; }

 private:
  std::array<std::uint64_t, kBucketBounds.size() + 1> counts_{};
  double sum_seconds_ = 0;
};

}  // namespace pathcleat
