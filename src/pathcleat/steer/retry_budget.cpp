// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/retry_budget.hpp"

#include <algorithm>

namespace pathcleat {

RetryBudget::RetryBudget(double share, double burst)
    : share_(share), burst_(burst), saved_(burst) {}

void RetryBudget::OnFirstAttempt() {
  saved_ = std::min(burst_, saved_ + share_);
}

void RetryBudget::SetBurst(double burst) {
  burst_ = burst;
  saved_ = std::min(saved_, burst_);
}

bool RetryBudget::TryAcquire() {
  if (saved_ < 1) {
    return false;
  }
  saved_ -= 1;
  ++taken_;
  return true;
}

}  // namespace pathcleat
