// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Decides whether an upstream may receive requests, by the results of
/// this host's own attempts alone. After consecutive failures the upstream is
/// suspended for a delay that doubles with each further failure, then probed by
/// one request at a time. An upstream that has answered none of the requests in
/// flight for too long (IsSilent) gets no more requests until it answers or
/// they end.
/// @ingroup routing
class UpstreamHealth {
 public:
  /// @brief Call when a request is sent to the upstream.
  /// @param expected time until the answer.
  void OnSent(Duration expected, Time now);

  /// @brief Call when a request has ended, with or without an answer.
  void OnEnded() { --in_flight_; }

  /// @brief Reverts the OnEnded of a request for which OnEnded will be called
  /// again.
  void OnEndReverted() { ++in_flight_; }

  /// @brief Call when the upstream has answered, with any status.
  void OnResponse(Time now) {
    silent_since_ = now;
    last_answer_ = now;
  }

  /// @brief Whether the upstream has answered any request after `then`.
  bool HasAnsweredSince(Time then) const { return last_answer_ > then; }

  void OnSuccess() {
    failures_ = 0;
    probing_ = false;
  }
  void OnFailure(Time now);

  /// @brief Forgets the failures, as they were not the upstream's.
  void ForgetFailures() { OnSuccess(); }

  bool IsSuspect() const { return failures_ >= kFailuresToSuspect; }

  /// @brief Whether requests have been in flight for far longer than expected
  /// without any answer.
  bool IsSilent(Time now) const {
    return in_flight_ > 0 && now - silent_since_ > silence_timeout_;
  }

  /// @brief When a suspended upstream is probed again; empty if not suspended.
  std::optional<Time> RetryTime() const {
    return IsSuspect() ? std::optional(retry_at_) : std::nullopt;
  }

  /// @brief Whether a request may be sent to the upstream now.
  bool MayTry(Time now) const {
    return !IsSilent(now) && (!IsSuspect() || (now >= retry_at_ && !probing_));
  }

 private:
  static constexpr int kFailuresToSuspect = 2;

  int failures_ = 0;
  int in_flight_ = 0;
  bool probing_ = false;
  Time retry_at_;
  Time last_answer_;   ///< time of the last answer
  Time silent_since_;  ///< last answer, or first request sent after idleness
  Duration silence_timeout_{0};
};

}  // namespace pathcleat
