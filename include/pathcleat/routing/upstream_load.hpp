// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <memory>
#include <optional>
#include <utility>

#include "pathcleat/core/time.hpp"
#include "pathcleat/routing/average_load.hpp"

namespace pathcleat {

/// @brief Load that an upstream reports in an answer, in requests and slots.
/// @ingroup routing
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

/// @brief Estimates the requests at an upstream from this host's own exact
/// count and from the upstream's load reports. The part of a report caused by
/// other hosts decays with the report's age.
/// @ingroup routing
class UpstreamLoad {
 public:
  /// @brief Sets whether the estimate of other hosts' requests decays from the
  /// last report to their usual number; otherwise it decays to 0.
  void SetRememberUsual(bool remember) { remember_usual_ = remember; }

  /// @brief Sets the average over several upstreams, including this one. The
  /// estimate uses the average in place of this upstream's own reports once
  /// they are old.
  void SetSharedAverage(std::shared_ptr<AverageLoad> average) {
    shared_average_ = std::move(average);
  }

  void OnSent() { ++own_in_flight_; }
  void OnEnded() { --own_in_flight_; }

  /// @brief Adds the load report of an answer. Call before OnEnded.
  void OnReport(const LoadReport& report, Time now);

  int own_in_flight() const { return own_in_flight_; }

  /// @brief Expected number of requests, of all hosts, that run or wait at the
  /// upstream now.
  double ExpectedRequests(Time now) const;

  /// @brief The same estimate without the shared average, from this upstream's
  /// own reports alone. If upstreams were compared by ExpectedRequests, reports
  /// of a few busy upstreams would move traffic away from all upstreams without
  /// a recent report.
  double ExpectedFromReports(Time now) const;

 private:
  double AgeMicros(Time now) const;
  double OwnUsualAt(Time now) const;
  double UsualAt(Time now) const;
  double EstimateWith(double usual, Time now) const;

  bool remember_usual_ = true;
  int own_in_flight_ = 0;
  double usual_other_requests_ = 0;  ///< recent average of other_requests_
  double other_requests_ = 0;  ///< requests of other hosts at reported_at_
  std::optional<Time> reported_at_;  ///< time of the last report
  /// Null: without reports, no load by other hosts is assumed.
  std::shared_ptr<AverageLoad> shared_average_;
};

}  // namespace pathcleat
