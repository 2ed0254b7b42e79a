// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Whether an upstream is worth sending to, judged by this host's own
/// attempts alone. After failures in a row it is left alone for a time that
/// doubles; then one request at a time tries it. While requests are there and
/// nothing at all comes back, it gets no more.
/// @ingroup routing
class UpstreamHealth {
 public:
  /// @brief A request is sent to it.
  /// @param expected time until its answer.
  void OnSent(Duration expected, Time now);

  /// @brief A request sent to it has ended, in whatever way.
  void OnEnded() { --under_way_; }

  /// @brief A request that was taken as ended is counted again.
  void OnEndReverted() { ++under_way_; }

  /// @brief It gave an answer of any kind.
  void OnResponse(Time now) {
    quiet_since_ = now;
    heard_ = now;
  }

  /// @brief Whether it has given any answer since then.
  bool HasAnsweredSince(Time then) const { return heard_ > then; }

  void OnSuccess() {
    failures_ = 0;
    trying_ = false;
  }
  void OnFailure(Time now);

  bool IsSuspect() const { return failures_ >= kFailuresToSuspect; }

  /// @brief Whether it has kept requests for far longer than expected without
  /// answering any.
  bool IsSilent(Time now) const {
    return under_way_ > 0 && now - quiet_since_ > patience_;
  }

  /// @brief When it is tried again, if it is left alone for its failures.
  std::optional<Time> RetryTime() const {
    return IsSuspect() ? std::optional(retry_at_) : std::nullopt;
  }

  /// @brief Whether a request may be sent now.
  bool MayTry(Time now) const {
    return !IsSilent(now) && (!IsSuspect() || (now >= retry_at_ && !trying_));
  }

 private:
  static constexpr int kFailuresToSuspect = 2;

  int failures_ = 0;
  int under_way_ = 0;
  bool trying_ = false;
  Time retry_at_;
  Time heard_;        ///< its last answer
  Time quiet_since_;  ///< last answer, or first request sent since none
  Duration patience_{0};
};

}  // namespace pathcleat
