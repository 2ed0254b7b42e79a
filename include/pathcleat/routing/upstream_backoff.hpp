// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief The time for which an upstream asked this host to send nothing, in
/// the Retry-After header of a rejection.
///
/// It applies to this host alone: an upstream may reject one host and still
/// have room for another. The longest time that was asked for applies; no
/// answer ends it early, as the answer may be to an older request. After it,
/// one request at a time is sent as a trial until the upstream accepts one. Not
/// thread-safe.
/// @ingroup routing
class UpstreamBackoff {
 public:
  /// @brief Starts the time, or extends it. Capped at one hour.
  /// @param delay the time that the upstream asked for.
  /// @param spread position of this host in [0, 1), by which the hosts return
  /// to the upstream one after the other.
  /// @return whether this host may send later than before the call.
  bool Start(Duration delay, double spread, Time now);

  /// @brief Whether the upstream gets nothing from this host.
  bool IsInForce(Time now) const { return now < until_; }

  /// @brief Whether the upstream has accepted no request since the last time
  /// that it asked for was over.
  bool IsRecovering(Time now) const { return recovering_ && !IsInForce(now); }

  /// @brief Whether this host may send one request now.
  bool MaySend(Time now) const {
    return !IsInForce(now) && !(recovering_ && trial_in_flight_);
  }

  /// @brief Call when a request is sent.
  /// @return whether it is a trial; OnTrialEnded must be called for it.
  bool OnSent(Time now);

  /// @brief Call when a trial has ended in any way.
  void OnTrialEnded() { trial_in_flight_ = false; }

  /// @brief Call when the upstream has accepted a request.
  /// @param sent when that request was sent.
  void OnAccepted(Time sent);

  /// @brief Time from which this host may send again.
  Time until() const { return until_; }

 private:
  Time until_;
  bool recovering_ = false;
  bool trial_in_flight_ = false;
};

}  // namespace pathcleat
