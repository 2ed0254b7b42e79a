// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"
#include "pathcleat/routing/latency_estimate.hpp"

namespace pathcleat {

/// @brief What this host has learned of one route's requests.
/// @ingroup routing
struct RequestProfile {
  explicit RequestProfile(Duration target_latency)
      : warm_run(target_latency * 2 / 5), cold_run(target_latency * 6 / 5) {}

  LatencyEstimate warm_run;      ///< run time where the key was lately served
  LatencyEstimate cold_run;      ///< run time elsewhere
  double answer_bytes = 1'000;   ///< moving average
  Duration longest_deadline{0};  ///< that a caller has sent
};

}  // namespace pathcleat
