// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/split_limit.hpp"

#include <cstdint>
#include <numeric>

namespace pathcleat {

std::vector<int> SplitLimit(int limit, const std::vector<int>& weights) {
  std::int64_t weight_left =
      std::accumulate(weights.begin(), weights.end(), std::int64_t{0});
  int limit_left = limit;
  std::vector<int> shares;
  for (const int weight : weights) {
    const std::int64_t share =
        weight_left == 0
            ? 0
            : (std::int64_t{limit_left} * weight + weight_left / 2) /
                  weight_left;
    shares.push_back(static_cast<int>(share));
    limit_left -= static_cast<int>(share);
    weight_left -= weight;
  }
  return shares;
}

}  // namespace pathcleat
