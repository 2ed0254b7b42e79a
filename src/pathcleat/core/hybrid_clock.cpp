// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/hybrid_clock.hpp"

#include <algorithm>

namespace pathcleat {

std::string ToString(const HybridTime& time) {
  return std::to_string(time.micros) + "." + std::to_string(time.counter);
}

HybridTime HybridClock::Tick(std::uint64_t wall_micros) {
  const std::lock_guard lock(mutex_);
  if (wall_micros > last_.micros) {
    last_ = {wall_micros, 0};
  } else {
    ++last_.counter;
  }
  return last_;
}

HybridTime HybridClock::Observe(const HybridTime& remote,
                                std::uint64_t wall_micros) {
  const std::lock_guard lock(mutex_);
  const HybridTime newest = std::max(last_, remote);
  if (wall_micros > newest.micros) {
    last_ = {wall_micros, 0};
  } else {
    last_ = {newest.micros, newest.counter + 1};
  }
  return last_;
}

}  // namespace pathcleat
