// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

namespace pathcleat {

/// @brief Allows retries up to a share of first attempts, so that overload
/// does not feed on itself. Not thread-safe.
/// @ingroup steer
class RetryBudget {
 public:
  /// @param share retries allowed a first attempt, e.g. 0.1.
  /// @param burst most retries that can be saved up.
  RetryBudget(double share, double burst);

  void OnFirstAttempt();

  /// @brief Changes how much can be saved up; more than that is lost.
  void SetBurst(double burst);

  /// @brief Takes one retry, if there is one.
  bool TryAcquire();

  /// @brief Retries taken since the start.
  std::uint64_t used() const { return taken_; }

  /// @brief Retries that may be taken now.
  double remaining() const { return saved_; }

 private:
  double share_;
  double burst_;
  double saved_;
  std::uint64_t taken_ = 0;
};

}  // namespace pathcleat
