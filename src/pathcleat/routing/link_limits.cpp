// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/link_limits.hpp"

#include <algorithm>
#include <utility>

namespace pathcleat {

LinkLimits::LinkLimits(std::map<std::string, int> max_in_flight)
    : max_in_flight_(std::move(max_in_flight)) {}

bool LinkLimits::HasCapacity(const std::string& region) const {
  const auto limit = max_in_flight_.find(region);
  if (limit == max_in_flight_.end()) {
    return true;
  }
  const auto used = in_flight_.find(region);
  return (used == in_flight_.end() ? 0 : used->second) <
         limit->second / std::max(1, host_count_);
}

}  // namespace pathcleat
