// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <algorithm>

#include "pathcleat/rollouts/response_counts.hpp"

namespace pathcleat {

/// @brief Shares of events up to which a version is good and from which it is
/// bad, relative to the usual share.
/// @ingroup rollouts
struct ShareHypotheses {
  double good_excess;  ///< good: up to 1.2 times the usual share plus this
  double bad_excess;   ///< bad: from 1.5 times the usual share plus this on
  /// Evidence of good beyond this is not kept, so that a version that becomes
  /// bad later soon lacks it.
  double max_evidence;
};

/// @brief Wald's sequential probability ratio test (1945) of whether a version
/// is good. The usual share is that of the other versions in the same window
/// and strata. Not thread-safe.
/// @ingroup rollouts
class VersionEvaluator {
 public:
  explicit VersionEvaluator(const ShareHypotheses& hypotheses)
      : hypotheses_(hypotheses) {}

  /// @brief Adds the responses of one window.
  /// @param usual share of events at the other versions.
  void Add(const ResponseCounts& responses, double usual);

  /// @brief Discards evidence that the version is not good.
  void DiscardEvidenceOfBad() {
    evidence_of_good_ = std::max(0.0, evidence_of_good_);
  }

  /// @brief Log likelihood ratio of good to bad.
  double evidence_of_good() const { return evidence_of_good_; }

 private:
  ShareHypotheses hypotheses_;
  double evidence_of_good_ = 0;
};

}  // namespace pathcleat
