// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/link_limits.hpp"

#include <algorithm>
#include <utility>

namespace pathcleat {

LinkLimits::LinkLimits(std::map<std::string, int> most_in_flight)
    : most_(std::move(most_in_flight)) {}

bool LinkLimits::HasCapacity(const std::string& region) const {
  const auto most = most_.find(region);
  if (most == most_.end()) {
    return true;
  }
  const auto used = in_flight_.find(region);
  return (used == in_flight_.end() ? 0 : used->second) <
         most->second / std::max(1, sharers_);
}

}  // namespace pathcleat
