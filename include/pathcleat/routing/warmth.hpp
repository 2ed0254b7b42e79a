// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <cstddef>

#include "pathcleat/core/time.hpp"
#include "pathcleat/routing/latency_estimate.hpp"

namespace pathcleat {

/// @brief Why an upstream may be quick at a key: this host has sent the key
/// there itself, or others are likely to have, as they rank it alike.
/// @ingroup routing
struct WarmthEvidence {
  bool sent_recently = false;  ///< by this host, lately
  std::size_t rank = 0;  ///< of the upstream for the key; 0 is the nearest
};

/// @brief Learns from run times how often an upstream is quick at a key, by
/// sign, and how long quick and slow runs take. Not thread-safe.
/// @ingroup routing
class WarmthModel {
 public:
  /// @param target_latency of the route: the first guess of both run times.
  /// @param learns whether chances are learned; else the first guesses stay.
  explicit WarmthModel(Duration target_latency, bool learns = true);

  /// @brief Probability that it is quick.
  double Probability(const WarmthEvidence& sign) const;

  /// @brief A run that nothing waited for took this long on an upstream of
  /// usual speed.
  /// @return whether it was quick.
  bool OnRun(const WarmthEvidence& sign, Duration run);

  /// @brief Whether a run on an upstream of usual speed is a quick one.
  bool IsWarmRun(Duration run) const;

  /// @brief Run time of a quick or of a slow run.
  Duration RunTime(bool quick) const {
    return quick ? quick_.value() : slow_.value();
  }

 private:
  static constexpr std::size_t kRanks = 3;
  struct Chance {
    double quick;  ///< weighted number of quick runs, first guess included
    double all;
  };

  Chance& ChanceOf(const WarmthEvidence& sign);
  void Count(Chance& chance, bool quick);

  bool learns_;
  LatencyEstimate quick_;
  LatencyEstimate slow_;
  Chance sent_;
  std::array<Chance, kRanks> by_rank_;
};

}  // namespace pathcleat
