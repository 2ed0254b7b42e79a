// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief How many requests of other hosts the upstreams of one service and
/// region have on average, by their reports of late. It stands in for what an
/// upstream has not told: where hundreds of hosts send to as many upstreams, a
/// host hears of each less than once in a minute, and one that was not heard
/// of would look idle. Not thread-safe.
/// @ingroup routing
class AverageLoad {
 public:
  /// @brief An upstream has told of this many requests of others.
  void OnReport(double others, Time now);

  /// @brief The average; 0 without reports.
  double Value(Time now) const;

 private:
  double FadedBy(Time now) const;

  double reports_ = 0;  ///< number of reports, faded by age
  double sum_ = 0;      ///< of what they told, faded alike
  Time faded_;          ///< when both were last faded
};

}  // namespace pathcleat
