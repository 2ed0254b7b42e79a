// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/token_bucket.hpp"

#include <algorithm>

namespace pathcleat {

TokenBucket::TokenBucket(double per_second, double burst)
    : per_second_(per_second), burst_(burst), tokens_(burst) {}

double TokenBucket::TokensAt(Time now) const {
  if (!started_) {
    return tokens_;
  }
  const double elapsed = std::chrono::duration<double>(now - last_).count();
  return std::min(burst_, tokens_ + std::max(0.0, elapsed) * per_second_);
}

bool TokenBucket::CanTake(Time now) const {
  return per_second_ > 0 && TokensAt(now) >= 1;
}

void TokenBucket::SetRate(double per_second, Time now) {
  tokens_ = TokensAt(now);
  started_ = true;
  last_ = now;
  per_second_ = per_second;
}

bool TokenBucket::TryTake(Time now) {
  tokens_ = TokensAt(now);
  started_ = true;
  last_ = now;
  if (!CanTake(now)) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace pathcleat
