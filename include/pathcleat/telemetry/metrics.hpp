// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

// clang-format off: the quantile header uses std::ostringstream without
// including it.
#include <sstream>
// clang-format on

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "pathcleat/calls/abort_cause.hpp"
#include "pathcleat/core/histogram.hpp"
#include "pathcleat/core/run_outcome.hpp"
#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief What becomes of the work of a caller that leaves before its answer.
/// @ingroup telemetry
enum class AbandonedWork {
  kNotStarted,  ///< no byte of it had been sent to an upstream
  kCancelled,   ///< its upstream was told, by the end of the connection
  kRunsOn,      ///< it may not be repeated and its upstream has it whole
};

/// @brief Name of what becomes of it, as in the metrics.
const char* ToString(AbandonedWork work);

/// @brief Counts and latencies of answered requests by service and kind
/// (Boost.Accumulators; quantiles by the extended P-square estimate).
/// @ingroup telemetry
class Metrics {
 public:
  void Record(const std::string& kind, RunOutcome outcome, Duration latency);

  /// @brief A request was refused as not run.
  void OnRefused(const std::string& reason) { ++refusals_[reason]; }

  /// @brief An upstream has ended under a request of this host.
  void OnUpstreamCrashed() { ++ended_under_; }
  std::uint64_t upstream_crashes() const { return ended_under_; }

  /// @brief A caller left before its answer.
  void OnCallerLeft(AbandonedWork work) { ++callers_left_[work]; }

  /// @brief This host ended an exchange that its upstream may be at work on.
  void OnAborted(AbortCause cause) { ++broken_off_[cause]; }

  /// @brief A request was sent where it was expected to wait so long.
  void OnSent(Duration wait) { waits_.Add(wait); }

  /// @brief A table as text, one kind a line.
  std::string ToText() const;

  using Latency = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<
          boost::accumulators::tag::count,
          boost::accumulators::tag::mean,
          boost::accumulators::tag::max,
          boost::accumulators::tag::extended_p_square_quantile>>;

  /// @brief Requests of one route.
  struct RouteMetrics {
    RouteMetrics();
    Latency latency;
    Histogram buckets;  ///< of the same latencies
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
  };

  const std::map<std::string, RouteMetrics>& by_route() const { return kinds_; }
  const std::map<std::string, std::uint64_t>& refusals() const {
    return refusals_;
  }
  const std::map<AbandonedWork, std::uint64_t>& callers_left() const {
    return callers_left_;
  }
  /// @brief A request was answered with what is known as the host ends.
  void OnGivenUpAtShutdown() { ++given_up_at_end_; }
  std::uint64_t given_up_at_shutdown() const { return given_up_at_end_; }

  const std::map<AbortCause, std::uint64_t>& aborted() const {
    return broken_off_;
  }
  const Histogram& expected_waits() const { return waits_; }

 private:
  std::map<std::string, std::uint64_t> refusals_;  ///< by reason
  std::uint64_t ended_under_ = 0;
  std::map<AbandonedWork, std::uint64_t> callers_left_;
  std::map<AbortCause, std::uint64_t> broken_off_;
  std::uint64_t given_up_at_end_ = 0;
  Histogram waits_;
  std::map<std::string, RouteMetrics> kinds_;
};

}  // namespace pathcleat
