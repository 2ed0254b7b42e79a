// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

// Requests that hosts may send to a limited upstream in one window: the limit,
// plus kLimitOverage of it, plus kLimitSlack requests.
constexpr Duration kLimitWindow{4'000'000};
constexpr double kLimitOverage = 0.5;
constexpr double kLimitSlack = 5;

inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// @brief The arrival of a request at an upstream.
struct LimitArrival {
  Time at;
  std::size_t host = 0;
  bool informed = false;  ///< the sending host had the limit
};

/// @brief A limit and the period over which its use is measured.
struct LimitSpan {
  double per_second = 0;
  Time from;
  Time until;
};

/// @brief Use of a limit by the requests that arrived in a LimitSpan.
struct LimitUse {
  double max_window_ratio =
      0;  ///< requests in the fullest window / requests allowed in a window
  double max_informed_window_ratio =
      0;  ///< the same ratio, only for requests of informed hosts
  double used_share = 0;  ///< arrivals / (limit * length of the span)
};

/// @brief The largest number of arrivals in any window of length kLimitWindow.
/// @param arrivals in ascending order.
inline double MaxInWindow(const std::vector<Time>& arrivals) {
  std::size_t max_count = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < arrivals.size(); ++last) {
    while (arrivals[last] - arrivals[first] >= kLimitWindow) {
      ++first;
    }
    max_count = std::max(max_count, last - first + 1);
  }
  return static_cast<double>(max_count);
}

/// @brief Computes the use of an upstream's limit from the arrivals of requests
/// at the upstream.
inline LimitUse MeasureLimitUse(const std::vector<LimitArrival>& arrivals,
                                const LimitSpan& span) {
  std::vector<Time> all;
  std::vector<Time> informed_arrivals;
  for (const LimitArrival& arrival : arrivals) {
    if (arrival.at < span.from || arrival.at >= span.until) {
      continue;
    }
    all.push_back(arrival.at);
    if (arrival.informed) {
      informed_arrivals.push_back(arrival.at);
    }
  }
  const double allowed =
      (1 + kLimitOverage) * span.per_second * ToSeconds(kLimitWindow) +
      kLimitSlack;
  return {MaxInWindow(all) / allowed, MaxInWindow(informed_arrivals) / allowed,
          static_cast<double>(all.size()) /
              (span.per_second * ToSeconds(span.until - span.from))};
}

}  // namespace pathcleat
