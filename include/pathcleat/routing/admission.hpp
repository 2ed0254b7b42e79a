// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief What is known of a request and of the upstream chosen for it.
/// @ingroup routing
struct AdmissionInput {
  Duration queue_wait{0};      ///< until a slot is free
  Duration service_time{0};    ///< from then to the answer: its run and the way
  Duration usual_run_time{0};  ///< of the route's requests whose key is known
  int slots = 1;               ///< of the upstream
  Duration target_latency{0};  ///< latency of the route
  /// From now to the end of its target latency, counted from the caller's
  /// first try; below zero if that is past.
  Duration target_time_left{0};
  bool is_retry = false;  ///< it was refused before
};

/// @brief The wait of one place in the queue; a host knows it no better.
/// @ingroup routing
Duration WaitPerQueuedRequest(const AdmissionInput& input);

/// @brief What is to become of a request at its upstream.
/// @ingroup routing
enum class AdmissionDecision {
  kAdmitInTime,  ///< send: it would be in time
  kAdmitLate,    ///< send: it may be late, but not for its waiting
  kRefuse,       ///< it would be late for its waiting
};

/// @brief Decides who may lengthen an upstream's queue. A first try may wait
/// as long as it is in time, and one that is late for its run alone as long as
/// a usual one. What has come back has no other chance: it may wait one place
/// longer, so that first tries do not take all places. Longer still, and those
/// behind it would be late as well, refused, and late when they come back.
/// @ingroup routing
AdmissionDecision DecideAdmission(const AdmissionInput& input);

}  // namespace pathcleat
