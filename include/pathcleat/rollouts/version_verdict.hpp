// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "pathcleat/core/time.hpp"
#include "pathcleat/rollouts/rollout_tally.hpp"
#include "pathcleat/rollouts/stratified_comparison.hpp"
#include "pathcleat/rollouts/version_evaluator.hpp"

namespace pathcleat {

/// @brief Judges a version by the responses of the whole fleet, compared with
/// those of the other versions in the same strata. Missing or late tallies
/// delay a verdict. Not thread-safe.
/// @ingroup rollouts
class VersionVerdict {
 public:
  VersionVerdict();

  /// @brief Adds the responses since the last call. Call a few times a second.
  void Update(const RolloutTally& fleet, Time now);

  /// @brief Whether the version was found bad; stays true.
  bool IsBad() const { return is_bad_; }
  /// @param progress 0 when the version may first be found good, 1 at the last
  /// moment. The evidence that is required decreases in between.
  bool IsGood(double progress) const;

  /// @brief Whether there is evidence against the version that may come from a
  /// few bad upstreams, so that more upstreams are to be tried; stays true.
  bool NeedsMoreUpstreams() const { return needs_more_upstreams_; }

  /// @brief Largest evidence against the version, as a log likelihood ratio.
  double EvidenceOfBad() const;
  double EvidenceOfGood() const;

 private:
  /// @brief Largest evidence of a single route, or kind of latency.
  double RouteEvidence() const;
  using Strata = std::vector<StratumCounts>;
  void UpdateTests(const RolloutTally& window, bool closes);
  void AddToEvaluators(const RolloutTally& window);
  void Widen(Time now);
  void Judge(Time now);
  bool IsSpreadOverUpstreams() const;
  double ExcessEvents() const;

  RolloutTally fleet_;         ///< at the last update
  RolloutTally window_start_;  ///< at the start of the current window
  std::optional<Time> window_started_;
  StratifiedComparison all_failures_;
  StratifiedComparison all_latencies_;
  std::vector<StratifiedComparison> route_failures_;
  std::vector<StratifiedComparison> route_latencies_;
  VersionEvaluator failure_evaluator_;
  VersionEvaluator latency_evaluator_;
  double expected_events_ = 0;  ///< at the new version, if it is like others
  bool is_bad_ = false;
  bool needs_more_upstreams_ = false;
  bool discounted_ = false;  ///< whether evidence was discarded once
  Time widened_;             ///< when needs_more_upstreams_ became true
};

}  // namespace pathcleat
