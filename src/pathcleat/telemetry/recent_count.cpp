// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/telemetry/recent_count.hpp"

namespace pathcleat {

void RecentCount::Add(Time now) {
  const Duration age = now - window_start_;
  if (age >= kWindow) {
    previous_ = age < 2 * kWindow ? current_ : 0;
    current_ = 0;
    // Windows are aligned, so that the windows of several counters cover the
    // same time.
    window_start_ = now - now.time_since_epoch() % kWindow;
  }
  ++current_;
}

std::uint64_t RecentCount::Count(Time now) const {
  const Duration age = now - window_start_;
  if (age >= 2 * kWindow) {
    return 0;
  }
  return age >= kWindow ? current_ : previous_ + current_;
}

}  // namespace pathcleat
