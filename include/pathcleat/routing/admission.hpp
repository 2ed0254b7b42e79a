// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Inputs to the admission decision: a request and the upstream chosen
/// for it.
/// @ingroup routing
struct AdmissionInput {
  Duration queue_wait{0};  ///< expected time until a slot is free
  /// Time from a free slot to the response: run time and network time.
  Duration service_time{0};
  /// Usual run time of the route's requests on a warm upstream.
  Duration usual_run_time{0};
  int slots = 1;  ///< number of requests that the upstream runs at once
  Duration target_latency{0};  ///< target latency of the route
  /// Time left until the target latency is over, counted from the caller's
  /// first attempt; below zero once the target latency is over.
  Duration target_time_left{0};
  /// Whether a host has already refused an earlier attempt of the request.
  bool is_retry = false;
};

/// @brief The time by which each queued request lengthens the wait for a slot.
/// A host cannot estimate the wait more precisely than this.
/// @ingroup routing
Duration WaitPerQueuedRequest(const AdmissionInput& input);

/// @brief The admission decision for a request at its upstream.
/// @ingroup routing
enum class AdmissionDecision {
  kAdmitInTime,  ///< send: the response is expected within the target
  kAdmitLate,  ///< send: the response may be late, but not because of the queue
  kRefuse,     ///< refuse: the queue would make the response late
};

/// @brief Decides whether a request may lengthen an upstream's queue. A first
/// attempt may wait as long as its response is still within the target; if its
/// run time alone exceeds the target, it may wait as long as a usual request. A
/// retry has no other chance to be served: it may wait one queue position
/// longer than a usual request, so that first attempts do not take all
/// positions. If requests could wait longer still, the requests behind them
/// would be late too, would be refused, and would be late again when they
/// retry.
/// @ingroup routing
AdmissionDecision DecideAdmission(const AdmissionInput& input);

}  // namespace pathcleat
