// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/upstream_health.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

constexpr Duration kFirstPause{500'000};
constexpr int kMostDoublings = 3;
constexpr Duration kLeastPatience{600'000};
constexpr int kPatienceMultiple = 3;

}  // namespace

void UpstreamHealth::OnSent(Duration expected, Time now) {
  if (under_way_++ == 0) {
    quiet_since_ = now;
    patience_ = kLeastPatience;
  }
  patience_ = std::max(patience_, expected * kPatienceMultiple);
  trying_ = IsSuspect();
}

void UpstreamHealth::OnFailure(Time now) {
  ++failures_;
  trying_ = false;
  if (IsSuspect()) {
    const int doublings =
        std::min(failures_ - kFailuresToSuspect, kMostDoublings);
    retry_at_ = now + kFirstPause * (1 << doublings);
  }
}

}  // namespace pathcleat
