// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

namespace pathcleat {

/// @brief Limits retries to a share of first attempts, so that retries do not
/// amplify an overload. Not thread-safe.
/// @ingroup steer
class RetryBudget {
 public:
  /// @param share retries added by each first attempt, e.g. 0.1.
  /// @param burst maximum number of retries saved up.
  RetryBudget(double share, double burst);

  void OnFirstAttempt();

  /// @brief Changes how many retries can be saved up. Saved retries beyond that
  /// are lost.
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
