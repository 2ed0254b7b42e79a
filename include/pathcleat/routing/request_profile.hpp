// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"
#include "pathcleat/routing/usual_deadline.hpp"
#include "pathcleat/routing/warmth.hpp"

namespace pathcleat {

/// @brief Estimates that this host makes from one route's requests.
/// @ingroup routing
struct RequestProfile {
  RequestProfile(Duration target_latency, bool learns_warmth)
      : warmth(target_latency, learns_warmth) {}

  WarmthModel warmth;  ///< run times, warm and cold
  double answer_bytes =
      1'000;  ///< moving average of the size of an answer's body
  /// Deadline that callers usually send with first attempts.
  UsualDeadline usual_deadline;
};

}  // namespace pathcleat
