// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <cstddef>
#include <vector>

#include "pathcleat/rollouts/response_counts.hpp"

namespace pathcleat {

/// @brief Sequential test of whether events are more frequent at the new
/// version than at the other versions in the same stratum. A stratum is a time
/// window and the properties that responses share.
///
/// Page's cumulative sum (1954) of the conditional log likelihood ratios, for
/// several odds ratios. For each start of the sum the likelihood ratio is a
/// martingale with mean 1 under equal odds, so by Ville's inequality (1939) it
/// ever exceeds 1/a with a probability of at most a. With n windows and k odds
/// ratios, evidence of ln(n k / a) is reached by chance with a probability of
/// at most a. Not thread-safe.
/// @ingroup rollouts
class StratifiedComparison {
 public:
  /// @brief Sets the responses of the current window so far.
  /// @param closes whether the window ends; the next call starts a new one.
  void Update(const std::vector<StratumCounts>& window, bool closes);

  /// @brief Largest log likelihood ratio, the current window included; at least
  /// 0.
  double evidence() const { return evidence_; }

 private:
  static constexpr std::size_t kOddsCount = 3;
  std::array<double, kOddsCount> closed_{};
  double evidence_ = 0;
};

}  // namespace pathcleat
