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
#include "pathcleat/http/answer_fault.hpp"

namespace pathcleat {

/// @brief State of a request's work after its caller disconnected before the
/// answer.
/// @ingroup telemetry
enum class AbandonedWork {
  kNotStarted,  ///< no byte of the request had been sent to an upstream
  kCancelled,   ///< cancelled by closing the connection to the upstream
  kRunsOn,  ///< not cancelled: fully sent, and the request is not repeatable
};

/// @brief Name of the state, as printed in the metrics.
const char* ToString(AbandonedWork work);

/// @brief Outcomes and latencies of requests by route, and counters of this
/// host (Boost.Accumulators; quantiles by the extended P-square estimate).
/// @ingroup telemetry
class Metrics {
 public:
  void Record(const std::string& route, RunOutcome outcome, Duration latency);

  /// @brief Counts a request that was refused and certainly not run.
  void OnRefused(const std::string& reason) { ++refusals_[reason]; }

  /// @brief Counts a request whose connection was lost because the process of
  /// its upstream ended.
  /// @brief Counts a time without requests that an upstream asked for.
  void OnBackoff() { ++backoffs_; }
  std::uint64_t backoffs() const { return backoffs_; }

  void OnUpstreamCrashed() { ++upstream_crashes_; }
  std::uint64_t upstream_crashes() const { return upstream_crashes_; }

  /// @brief Counts a caller that disconnected before its answer.
  void OnCallerLeft(AbandonedWork work) { ++callers_left_[work]; }

  /// @brief Counts an exchange that this host aborted while the upstream may
  /// have been working on the request.
  void OnAborted(AbortCause cause) { ++aborted_[cause]; }

  /// @brief Counts an answer of an upstream that cannot be used.
  void OnBrokenAnswer(AnswerFault fault) { ++broken_answers_[fault]; }

  /// @brief Counts a request that was sent.
  /// @param wait expected time until the upstream has a free slot.
  void OnSent(Duration wait) { expected_waits_.Add(wait); }

  /// @brief Formats the request metrics as text, one line for each route.
  std::string ToText() const;

  using Latency = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<
          boost::accumulators::tag::count,
          boost::accumulators::tag::mean,
          boost::accumulators::tag::max,
          boost::accumulators::tag::extended_p_square_quantile>>;

  /// @brief Outcomes and latencies of one route's requests.
  struct RouteMetrics {
    RouteMetrics();
    Latency latency;
    Histogram buckets;  ///< the same latencies in fixed buckets
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;  ///< requests that were certainly not run
    std::uint64_t unknown = 0;  ///< requests that may have been run
  };

  const std::map<std::string, RouteMetrics>& by_route() const {
    return by_route_;
  }
  const std::map<std::string, std::uint64_t>& refusals() const {
    return refusals_;
  }
  const std::map<AbandonedWork, std::uint64_t>& callers_left() const {
    return callers_left_;
  }
  /// @brief Counts a request that had no answer from its upstream when this
  /// host shut down, and that this host answered itself.
  void OnGivenUpAtShutdown() { ++given_up_at_shutdown_; }
  std::uint64_t given_up_at_shutdown() const { return given_up_at_shutdown_; }

  const std::map<AbortCause, std::uint64_t>& aborted() const {
    return aborted_;
  }
  const std::map<AnswerFault, std::uint64_t>& broken_answers() const {
    return broken_answers_;
  }
  const Histogram& expected_waits() const { return expected_waits_; }

 private:
  std::map<std::string, std::uint64_t> refusals_;  ///< by reason
  std::uint64_t backoffs_ = 0;
  std::uint64_t upstream_crashes_ = 0;
  std::map<AbandonedWork, std::uint64_t> callers_left_;
  std::map<AbortCause, std::uint64_t> aborted_;
  std::map<AnswerFault, std::uint64_t> broken_answers_;
  std::uint64_t given_up_at_shutdown_ = 0;
  Histogram expected_waits_;
  std::map<std::string, RouteMetrics> by_route_;
};

}  // namespace pathcleat
