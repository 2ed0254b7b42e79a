// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/histogram.hpp"

#include <algorithm>
#include <numeric>

namespace pathcleat {

void Histogram::Add(Duration duration) {
  const double seconds = std::chrono::duration<double>(duration).count();
  const auto bucket =
      std::lower_bound(kBucketBounds.begin(), kBucketBounds.end(), seconds);
  ++counts_.at(static_cast<std::size_t>(bucket - kBucketBounds.begin()));
  sum_seconds_ += seconds;
}

std::uint64_t Histogram::CountUpTo(std::size_t bound) const {
  const auto end = counts_.begin() + static_cast<std::ptrdiff_t>(
                                         std::min(bound + 1, counts_.size()));
  return std::accumulate(counts_.begin(), end, std::uint64_t{0});
}

}  // namespace pathcleat
