// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <cstddef>

#include "pathcleat/core/time.hpp"
#include "pathcleat/routing/latency_estimate.hpp"

namespace pathcleat {

/// @brief Evidence that an upstream is warm for a key, which means that it runs
/// requests with the key in less time. Either this host sent the key to the
/// upstream, or other hosts probably did, as all hosts rank the upstreams of a
/// key in the same order.
/// @ingroup routing
struct WarmthEvidence {
  /// Whether this host recently sent the key to the upstream.
  bool sent_recently = false;
  /// Rank of the upstream by distance from the key; 0: nearest.
  std::size_t rank = 0;
};

/// @brief Learns from run times how often an upstream is warm for a key, for
/// each kind of evidence, and how long warm and cold runs take. Not
/// thread-safe.
/// @ingroup routing
class WarmthModel {
 public:
  /// @param target_latency of the route; sets the initial run times.
  /// @param learns whether the probabilities are learned; if not, they keep
  /// their initial values.
  explicit WarmthModel(Duration target_latency, bool learns = true);

  /// @brief Probability that the upstream is warm.
  double Probability(const WarmthEvidence& evidence) const;

  /// @brief Adds the run time of one request.
  /// @param run time without queueing, converted to an upstream of the usual
  /// speed.
  /// @return whether the run was a warm run.
  bool OnRun(const WarmthEvidence& evidence, Duration run);

  /// @brief Whether a run on an upstream of the usual speed is a warm run.
  bool IsWarmRun(Duration run) const;

  /// @brief Estimated run time of a warm or of a cold run.
  Duration RunTime(bool warm) const {
    return warm ? warm_run_time_.value() : cold_run_time_.value();
  }

 private:
  static constexpr std::size_t kRankCount = 3;
  struct RunCount {
    double warm;   ///< weighted number of warm runs, initial estimate included
    double total;  ///< weighted number of all runs
  };

  RunCount& RunCountFor(const WarmthEvidence& evidence);
  void AddRun(RunCount& count, bool warm);

  bool learns_;
  LatencyEstimate warm_run_time_;
  LatencyEstimate cold_run_time_;
  RunCount sent_count_;
  std::array<RunCount, kRankCount> counts_by_rank_;
};

}  // namespace pathcleat
