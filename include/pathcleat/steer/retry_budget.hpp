// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

namespace pathcleat {

/// @brief Limits retries to a share of first attempts, so that retries do not
/// amplify an overload. Not thread-safe.
/// @ingroup steer
class RetryBudget {
 public:
  /// @param share retries that each first attempt adds to the budget, e.g. 0.1.
  /// @param burst maximum number of retries in the budget.
  RetryBudget(double share, double burst);

  void OnFirstAttempt();

  /// @brief Sets the maximum number of retries in the budget. Retries above the
  /// new maximum are discarded.
  void SetBurst(double burst);

  /// @brief Uses one retry, if one is available.
  bool TryAcquire();

  /// @brief Retries used since the start.
  std::uint64_t used() const { return used_; }

  /// @brief Retries available now.
  double remaining() const { return remaining_; }

 private:
  double share_;
  double burst_;
  double remaining_;
  std::uint64_t used_ = 0;
};

}  // namespace pathcleat
