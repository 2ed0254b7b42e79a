// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/rollouts/rollout_tally.hpp"

namespace pathcleat {

/// @brief Sequential test of whether a version's answers are bad more often
/// than usual: by 2 in 100 at most (good), or by 7 in 100 and half of the usual
/// (bad).
///
/// "Good" is Wald's sequential probability ratio test (1945) over all answers,
/// "bad" is Page's cumulative sum (1954), which forgets what was good before,
/// so that a version which turns bad later is found as fast. Both at 1 error
/// in 1,000. Not thread-safe.
/// @ingroup rollouts
class VersionEvaluator {
 public:
  /// @brief Answers that came since the last call.
  /// @param usual share of bad answers at the other versions meanwhile.
  void Add(const AnswerCounts& answers, double usual);

  bool IsBad() const;
  bool IsGood() const;

  /// @brief Less sure than good, and not in doubt.
  bool IsLikelyGood() const;

 private:
  double ratio_ = 0;  ///< logarithm of the odds, negative: good
  double worst_ = 0;  ///< cumulative sum, at least 0
};

/// @brief The share of bad answers to expect, from few counts as well.
/// @ingroup rollouts
double ExpectedBadRatio(const AnswerCounts& answers);

}  // namespace pathcleat
