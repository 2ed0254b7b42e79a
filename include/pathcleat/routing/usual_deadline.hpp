// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <algorithm>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Learns the deadline that a route's callers send with their first
/// tries: the one that recurs, while those of requests that come back differ
/// from each other. A caller with an odd deadline does not move it. Not
/// thread-safe.
/// @ingroup routing
class UsualDeadline {
 public:
  /// @brief A request came from its caller.
  void OnRequest(Duration deadline) {
    if (IsAlike(deadline)) {
      votes_ = std::min(votes_ + kVotesFor, kMostVotes);
      return;
    }
    if (--votes_ < 0) {
      value_ = deadline;
      votes_ = kVotesFor;
    }
  }

  /// @brief How long ago the caller's first try was, by what it has left.
  Duration SinceFirstTry(Duration deadline) const {
    return IsAlike(deadline) ? Duration::zero()
                             : std::max(Duration::zero(), value_ - deadline);
  }

  Duration value() const { return value_; }

 private:
  // A recurring value counts for so many others, so that it is kept while at
  // least one request in five is a first try.
  static constexpr int kVotesFor = 4;
  // So many requests in a row must differ before another value is taken.
  static constexpr int kMostVotes = 64;
  // Callers' clocks and queues shorten a deadline by this much of it.
  static constexpr double kAlike = 0.03;

  bool IsAlike(Duration deadline) const {
    const auto difference = static_cast<double>((deadline - value_).count());
    const auto usual = static_cast<double>(value_.count());
    return difference <= usual * kAlike && difference >= -usual * kAlike;
  }

  Duration value_{0};
  int votes_ = 0;
};

}  // namespace pathcleat
