// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>
#include <set>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief The longest delay after which a retry is still of use to its caller.
/// @param caller_left time until the caller gives up.
/// @param service time from a free slot to the response.
/// @ingroup routing
Duration LatestRetry(Duration caller_left, Duration service);

/// @brief When a refused request could be served, as far as this host can tell.
/// All times count from now.
/// @ingroup routing
struct RetryWindow {
  Duration earliest{0};        ///< until there is capacity for it
  Duration latest_in_time{0};  ///< latest retry answered within the target
  Duration latest{0};          ///< latest retry of use to its caller
  Duration spacing{0};  ///< between two retries that there is capacity for
};

/// @brief Assigns refused requests a time to retry, each a time of its own, as
/// capacity is expected. A request that can still be answered within the target
/// gets the first free time; a request that is late in any case gets the last
/// free time that it can use, so that the first times stay free for requests
/// that can be in time. Not thread-safe.
/// @ingroup routing
class RetryScheduler {
 public:
  /// @brief Reserves a time.
  /// @return the delay until the retry; never longer than window.latest.
  Duration Reserve(const RetryWindow& window, Time now);

  std::size_t reserved_count() const { return reserved_.size(); }

 private:
  // Bounds memory and search time: a host of typical size refuses fewer
  // requests within the longest delay that callers accept.
  static constexpr std::size_t kMaxReserved = 1'024;

  // The spacing is tried whole, then halved up to three times, so that reserved
  // times may be an eighth of it apart.
  static constexpr int kMaxSpacings = 4;

  Duration ChooseDelay(const RetryWindow& window, Time now) const;
  std::optional<Duration> FirstFree(Duration from,
                                    Duration to,
                                    Duration spacing,
                                    Time now) const;
  std::optional<Duration> LastFree(Duration from,
                                   Duration to,
                                   Duration spacing,
                                   Time now) const;

  std::multiset<Time> reserved_;
};

}  // namespace pathcleat
