// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/recent_keys.hpp"

#include <algorithm>

namespace pathcleat {

void RecentKeys::Touch(std::uint64_t key) {
  auto found = std::find(keys_.begin(), keys_.end(), key);
  if (found == keys_.end()) {
    if (keys_.size() == capacity_) {
      keys_.pop_back();
    }
    keys_.insert(keys_.begin(), key);
    return;
  }
  std::rotate(keys_.begin(), found, std::next(found));
}

bool RecentKeys::Contains(std::uint64_t key) const {
  return std::find(keys_.begin(), keys_.end(), key) != keys_.end();
}

}  // namespace pathcleat
