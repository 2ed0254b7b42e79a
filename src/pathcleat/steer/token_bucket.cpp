// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/token_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace pathcleat {

TokenBucket::TokenBucket(double per_second, double burst)
    : per_second_(per_second), burst_(burst), tokens_(burst) {}

double TokenBucket::TokensAt(Time now) const {
  if (!started_) {
    return tokens_;
  }
  const double elapsed =
      std::chrono::duration<double>(now - updated_at_).count();
  return std::min(burst_, tokens_ + std::max(0.0, elapsed) * per_second_);
}

bool TokenBucket::CanAcquire(Time now) const {
  return per_second_ > 0 && TokensAt(now) >= 1;
}

std::optional<Duration> TokenBucket::TimeUntilAvailable(Time now) const {
  if (per_second_ <= 0) {
    return std::nullopt;
  }
  constexpr double kMicros = 1e6;
  const double missing = std::max(0.0, 1 - TokensAt(now));
  return Duration(
      static_cast<Duration::rep>(std::ceil(missing / per_second_ * kMicros)));
}

void TokenBucket::Release(Time now) {
  tokens_ = std::min(burst_, TokensAt(now) + 1);
  updated_at_ = now;
}

void TokenBucket::SetRate(double per_second, Time now) {
  tokens_ = TokensAt(now);
  started_ = true;
  updated_at_ = now;
  per_second_ = per_second;
}

bool TokenBucket::TryAcquire(Time now) {
  tokens_ = TokensAt(now);
  started_ = true;
  updated_at_ = now;
  if (!CanAcquire(now)) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace pathcleat
