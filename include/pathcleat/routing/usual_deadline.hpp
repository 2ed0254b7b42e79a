// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <algorithm>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Learns the deadline that a route's callers send with their first
/// attempts. First attempts repeat the same value, while the deadlines of
/// retries differ from each other. A single caller with an unusual deadline
/// does not change the learned deadline. Not thread-safe.
/// @ingroup routing
class UsualDeadline {
 public:
  /// @brief Adds the deadline of a request received from a caller.
  void OnRequest(Duration deadline) {
    if (Matches(deadline)) {
      votes_ = std::min(votes_ + kVotesPerMatch, kMaxVotes);
      return;
    }
    if (--votes_ < 0) {
      value_ = deadline;
      votes_ = kVotesPerMatch;
    }
  }

  /// @brief Time since the caller's first attempt, estimated from the deadline
  /// that the caller sent with the current attempt.
  Duration TimeSinceFirstAttempt(Duration deadline) const {
    return Matches(deadline) ? Duration::zero()
                             : std::max(Duration::zero(), value_ - deadline);
  }

  Duration value() const { return value_; }

 private:
  // Number of other deadlines that one matching deadline outweighs. The learned
  // value is kept while at least one request in five is a first attempt.
  static constexpr int kVotesPerMatch = 4;
  // Bounds how long a value is kept after callers have stopped sending it: the
  // value is replaced at the latest by the first request after this many
  // consecutive requests with other deadlines.
  static constexpr int kMaxVotes = 64;
  // Clock differences and queues at callers shorten a deadline by up to this
  // share of the deadline.
  static constexpr double kMatchTolerance = 0.03;

  bool Matches(Duration deadline) const {
    const auto difference = static_cast<double>((deadline - value_).count());
    const auto usual = static_cast<double>(value_.count());
    return difference <= usual * kMatchTolerance &&
           difference >= -usual * kMatchTolerance;
  }

  Duration value_{0};
  int votes_ = 0;
};

}  // namespace pathcleat
