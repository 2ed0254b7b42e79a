// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>
#include <set>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief The longest delay that the caller accepts and after which a retry can
/// still be answered before the caller gives up.
/// @param caller_left time until the caller gives up.
/// @param service time from a free slot to the response.
/// @ingroup routing
Duration LatestRetryDelay(Duration caller_left, Duration service);

/// @brief When a refused request could be served, as far as this host can tell.
/// All times count from now.
/// @ingroup routing
struct RetryWindow {
  Duration earliest{0};  ///< delay until there is capacity for the request
  /// Longest delay after which the answer is still within the target latency.
  Duration latest_in_time{0};
  /// Longest delay after which the caller can still use a retry; see
  /// LatestRetryDelay.
  Duration latest{0};
  /// Time between two retries, so that the capacity suffices for both.
  Duration spacing{0};
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
  // Maximum number of reserved times, which bounds memory and search time.
  // Within the longest delay that callers accept, a host of typical size
  // refuses fewer requests than this.
  static constexpr std::size_t kMaxReserved = 1'024;

  // Number of spacings that are tried: the full spacing, then a half, a quarter
  // and an eighth of it.
  static constexpr int kSpacingCount = 4;

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
