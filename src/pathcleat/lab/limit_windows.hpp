// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

// What hosts may send to an upstream that names a limit: in each window the
// limit, so much of it more, and so many requests more.
constexpr Duration kLimitWindow{4'000'000};
constexpr double kLimitOverage = 0.5;
constexpr double kLimitSlack = 5;

inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// @brief A request at an upstream.
struct LimitArrival {
  Time at;
  std::size_t host = 0;
  bool informed = false;  ///< its host had been told of the limit
};

/// @brief A limit and the time for which it is judged.
struct LimitSpan {
  double per_second = 0;
  Time from;
  Time until;
};

/// @brief How a limit was used.
struct LimitUse {
  double max_window_ratio = 0;  ///< fullest window over what it may hold
  double max_informed_window_ratio = 0;  ///< the same, of hosts that were told
  double used_share = 0;                 ///< part of the limit
};

/// @brief The most arrivals in one window.
inline double MaxInWindow(const std::vector<Time>& arrivals) {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < arrivals.size(); ++last) {
    while (arrivals[last] - arrivals[first] >= kLimitWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return static_cast<double>(most);
}

/// @brief Judges the arrivals at one upstream.
inline LimitUse MeasureLimitUse(const std::vector<LimitArrival>& arrivals,
                                const LimitSpan& span) {
  std::vector<Time> all;
  std::vector<Time> told;
  for (const LimitArrival& arrival : arrivals) {
    if (arrival.at < span.from || arrival.at >= span.until) {
      continue;
    }
    all.push_back(arrival.at);
    if (arrival.informed) {
      told.push_back(arrival.at);
    }
  }
  const double allowed =
      (1 + kLimitOverage) * span.per_second * ToSeconds(kLimitWindow) +
      kLimitSlack;
  return {MaxInWindow(all) / allowed, MaxInWindow(told) / allowed,
          static_cast<double>(all.size()) /
              (span.per_second * ToSeconds(span.until - span.from))};
}

}  // namespace pathcleat
