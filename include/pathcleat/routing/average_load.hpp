// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Average number of other hosts' requests in flight at the upstreams of
/// one service and region, from recent reports. It is used for upstreams
/// without a recent report: where hundreds of hosts send to as many upstreams,
/// a host receives a report of each upstream less than once a minute, and an
/// upstream without a report would look idle. Not thread-safe.
/// @ingroup routing
class AverageLoad {
 public:
  /// @brief Adds an upstream's report.
  /// @param other_requests requests in flight at the upstream that other hosts
  /// sent.
  void OnReport(double other_requests, Time now);

  /// @brief The average; 0 without reports.
  double Value(Time now) const;

 private:
  double DecayFactor(Time now) const;

  double reports_ = 0;  ///< number of reports, decayed by age
  double sum_ = 0;      ///< sum of the reported requests, also decayed by age
  Time decayed_at_;     ///< time at which reports_ and sum_ were last decayed
};

}  // namespace pathcleat
