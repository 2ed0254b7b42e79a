// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>
#include <set>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief The latest return that is of use to a caller.
/// @param caller_left until it gives up.
/// @param service from a free slot to its answer.
/// @ingroup routing
Duration LatestRetry(Duration caller_left, Duration service);

/// @brief When a refused request could be served, as far as its host knows.
/// Times count from now.
/// @ingroup routing
struct RetryWindow {
  Duration earliest{0};  ///< until there is room for it
  Duration latest_in_time{
      0};               ///< latest return that is answered within the target
  Duration latest{0};   ///< latest return that is of use to its caller
  Duration spacing{0};  ///< between two returns that there is room for
};

/// @brief Tells refused requests when to come back: each to a place of its
/// own, as room is expected. What can still be in time gets the first free
/// place; what is late in any case the last one that it can use, so that the
/// first ones stay for those whom they serve in time. Not thread-safe.
/// @ingroup routing
class RetryScheduler {
 public:
  /// @brief Promises a place.
  /// @return how long to stay away; never longer than window.latest.
  Duration Reserve(const RetryWindow& window, Time now);

  std::size_t reserved_count() const { return booked_.size(); }

 private:
  // Bounds the memory and the search: a host of today's size refuses fewer in
  // the longest time that callers stay away.
  static constexpr std::size_t kMostBooked = 1'024;

  // Places down to an eighth of the spacing apart; chosen, not measured beside
  // other values.
  static constexpr int kMostHalvings = 4;

  Duration Place(const RetryWindow& window, Time now) const;
  std::optional<Duration> FirstFree(Duration from,
                                    Duration to,
                                    Duration spacing,
                                    Time now) const;
  std::optional<Duration> LastFree(Duration from,
                                   Duration to,
                                   Duration spacing,
                                   Time now) const;

  std::multiset<Time> booked_;
};

}  // namespace pathcleat
