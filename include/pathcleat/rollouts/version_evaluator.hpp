// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/rollouts/rollout_tally.hpp"

namespace pathcleat {

/// @brief Sequential test of whether a version's answers are bad more often
/// than usual. The usual share is the share of bad answers of the other
/// versions. The hypotheses are a share of at most the usual share plus 2
/// percentage points (good) and a share of 1.5 times the usual share plus 7
/// percentage points (bad).
///
/// "Good" is decided by Wald's sequential probability ratio test (1945) over
/// all answers, "bad" by Page's cumulative sum (1954). The cumulative sum
/// discards earlier good answers, so that a version that becomes bad later is
/// found equally fast. Both tests have an error probability of 1 in 1,000. Not
/// thread-safe.
/// @ingroup rollouts
class VersionEvaluator {
 public:
  /// @brief Adds the answers since the last call.
  /// @param usual share of bad answers at the other versions since the last
  /// call.
  void Add(const AnswerCounts& answers, double usual);

  bool IsBad() const;
  bool IsGood() const;

  /// @brief A weaker condition than IsGood: the version is more likely good
  /// than bad, and its cumulative sum is below half of the threshold for bad.
  bool IsLikelyGood() const;

 private:
  double log_ratio_ =
      0;  ///< log likelihood ratio of bad to good; negative: good
  double cumulative_sum_ = 0;  ///< at least 0
};

/// @brief The expected share of bad answers. A prior is included, so that a few
/// answers suffice for the estimate.
/// @ingroup rollouts
double ExpectedBadRatio(const AnswerCounts& answers);

}  // namespace pathcleat
