// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief One kind of request in the caller retry model.
/// @ingroup lab
struct CallerRetryKind {
  std::string name = "work";
  int priority = 0;   ///< 0 is the most urgent
  double weight = 1;  ///< relative share of the arrivals
  Duration target_latency{400'000};
  Duration deadline{2'500'000};  ///< time for which its callers wait
  Duration mean_run_time{
      480'000};                 ///< mean run time of a key that is not cached
  double warm_run_share = 0.3;  ///< part of mean_run_time for a cached key
  int keys = 80;                ///< distinct keys; 0: each request has its own
};

/// @brief A temporary overload or outage during a run of the model.
/// @ingroup lab
struct CallerRetryFault {
  Duration starts_after{10'000'000};  ///< from the start of the run
  Duration duration{3'000'000};
  double load_factor = 1;     ///< factor on the arrival rate
  bool domain_fails = false;  ///< all upstreams of the first domain fail
  double cold_requests_per_second =
      0;  ///< rate that each restarted upstream bears; 0: warm at once
  Duration cold_duration{
      4'000'000};  ///< time after the restart for which an upstream is cold
};

/// @brief A run of the model: callers that are refused retry at a random host,
/// up to max_retries times, and give up at their deadline.
/// @ingroup lab
struct CallerRetryPlan {
  std::vector<CallerRetryKind> kinds{{}};
  int domains = 3;
  int hosts_in_domain = 3;
  int upstreams_in_domain = 8;
  int slots = 3;
  int queue_capacity = 9;
  int cached_keys = 50;  ///< keys that one upstream keeps warm
  Duration round_trip{2'000};
  /// A caller waits for Retry-After, but for at most this share of the time
  /// left until its deadline, as real callers do.
  double max_wait_share = 1.0 / 3;
  int max_retries = 1;  ///< retries of one caller
  double requests_per_second = 200;
  CallerRetryFault fault;
  Duration warm_up{
      8'000'000};  ///< requests that arrive in this time are not counted
  Duration duration{20'000'000};
  std::uint64_t seed = 1;
};

/// @brief Outcomes of the requests of one kind.
/// @ingroup lab
struct CallerRetryCounts {
  int offered = 0;
  int in_time = 0;  ///< latency measured from the first try
  int late = 0;
  int told_to_retry = 0;  ///< refused at the first try
  int served_at_first_retry = 0;
  int retries_refused = 0;  ///< refused again at a retry
  int failed = 0;           ///< sent to an upstream, not served by the deadline

  /// @brief Share of the offered requests that were served, in time or late.
  double ServedShare() const { return Share(in_time + late, offered); }

  /// @brief Mean credit of a request: 1 if in time, 0.2 if late, else 0.
  double CreditShare() const {
    constexpr double kLateCredit = 0.2;
    return offered == 0 ? 0 : (in_time + kLateCredit * late) / offered;
  }

  /// @brief Of the requests refused at the first try, the share that was served
  /// at the first retry.
  double FirstRetryShare() const {
    return Share(served_at_first_retry, told_to_retry);
  }

 private:
  static double Share(int part, int all) {
    return all == 0 ? 0 : static_cast<double>(part) / all;
  }
};

/// @brief Plan of urgent requests with long, cold runs beside less urgent
/// requests with short, warm runs, at about the capacity of the service.
/// @ingroup lab
CallerRetryPlan UrgentAndShortPlan();

/// @brief Runs the model in virtual time.
/// @return counts by name of the kind.
/// @ingroup lab
std::map<std::string, CallerRetryCounts> RunCallerRetryModel(
    const CallerRetryPlan& plan);

/// @brief Measures the outcomes of refused callers after a burst and after the
/// outage of a domain, and the outcomes of urgent and less urgent requests
/// under overload.
/// @param seeds runs of each case, with the seeds 1 to `seeds`.
/// @return a Markdown table of medians over the seeds.
/// @ingroup lab
std::string MeasureCallerRetries(int seeds);

}  // namespace pathcleat
