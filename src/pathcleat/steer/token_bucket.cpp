// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/token_bucket.hpp"

#include <algorithm>

namespace pathcleat {

TokenBucket::TokenBucket(double per_second, double burst)
    : per_second_(per_second), burst_(burst), tokens_(burst) {}

bool TokenBucket::TryTake(Time now) {
  if (started_) {
    const double elapsed = std::chrono::duration<double>(now - last_).count();
    tokens_ = std::min(burst_, tokens_ + elapsed * per_second_);
  }
  started_ = true;
  last_ = now;
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace pathcleat
