// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/upstream_health.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

constexpr Duration kInitialRetryDelay{500'000};
constexpr int kMaxDoublings = 3;
constexpr Duration kMinSilenceTimeout{600'000};
constexpr int kSilenceTimeoutMultiple = 3;

}  // namespace

void UpstreamHealth::OnSent(Duration expected, Time now) {
  if (in_flight_++ == 0) {
    silent_since_ = now;
    silence_timeout_ = kMinSilenceTimeout;
  }
  silence_timeout_ =
      std::max(silence_timeout_, expected * kSilenceTimeoutMultiple);
  probing_ = IsSuspect();
}

void UpstreamHealth::OnFailure(Time now) {
  ++failures_;
  probing_ = false;
  if (IsSuspect()) {
    const int doublings =
        std::min(failures_ - kFailuresToSuspect, kMaxDoublings);
    retry_at_ = now + kInitialRetryDelay * (1 << doublings);
  }
}

}  // namespace pathcleat
