// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/retry_budget.hpp"

#include <algorithm>

namespace pathcleat {

RetryBudget::RetryBudget(double share, double burst)
    : share_(share), burst_(burst), remaining_(burst) {}

void RetryBudget::OnFirstAttempt() {
  remaining_ = std::min(burst_, remaining_ + share_);
}

void RetryBudget::SetBurst(double burst) {
  burst_ = burst;
  remaining_ = std::min(remaining_, burst_);
}

bool RetryBudget::TryAcquire() {
  if (remaining_ < 1) {
    return false;
  }
  remaining_ -= 1;
  ++used_;
  return true;
}

}  // namespace pathcleat
