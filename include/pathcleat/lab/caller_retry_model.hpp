// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief One kind of request in the model.
/// @ingroup lab
struct CallerRetryKind {
  std::string name = "work";
  int priority = 0;   ///< 0 is the most urgent
  double weight = 1;  ///< share of the arrivals
  Duration target_latency{400'000};
  Duration deadline{2'500'000};  ///< that its callers wait
  Duration mean_run_time{
      480'000};                 ///< mean run time of a key not lately served
  double warm_run_share = 0.3;  ///< of it, where the key was lately served
  int keys = 80;                ///< 0: each request has one of its own
};

/// @brief What befalls the model's world for a while.
/// @ingroup lab
struct CallerRetryFault {
  Duration at{10'000'000};
  Duration duration{3'000'000};
  double load_factor = 1;     ///< arrivals are this many times as many
  bool domain_fails = false;  ///< the first domain's upstreams are gone
  double cold_requests_per_second =
      0;  ///< what each bears when back; 0: warm at once
  Duration cold_duration{4'000'000};
};

/// @brief A run of the model: callers who come back once when they are told
/// to, at any host, and give up at their deadline.
/// @ingroup lab
struct CallerRetryPlan {
  std::vector<CallerRetryKind> kinds{{}};
  int domains = 3;
  int hosts_in_domain = 3;
  int upstreams_in_domain = 8;
  int slots = 3;
  int queue_capacity = 9;
  int cached_keys = 50;  ///< by an upstream
  Duration round_trip{2'000};
  /// Of what a caller has left, it heeds at most this much of Retry-After, as
  /// the users' callers do.
  double max_wait_share = 1.0 / 3;
  int max_retries = 1;  ///< times that a caller comes back
  double requests_per_second = 200;
  CallerRetryFault fault;
  Duration warm_up{8'000'000};  ///< not counted
  Duration duration{20'000'000};
  std::uint64_t seed = 1;
};

/// @brief What befell the requests of one kind.
/// @ingroup lab
struct CallerRetryCounts {
  int offered = 0;
  int in_time = 0;  ///< counted from the first try
  int late = 0;
  int told_to_retry = 0;  ///< at the first try
  int served_at_first_retry = 0;
  int retries_refused = 0;  ///< by a host, at a return
  int failed = 0;           ///< not served by the deadline, though sent on

  double ServedShare() const { return Share(in_time + late, offered); }

  /// @brief Credit earned of the credit owed: 1 in time, 0.2 late.
  double CreditShare() const {
    constexpr double kLateWorth = 0.2;
    return offered == 0 ? 0 : (in_time + kLateWorth * late) / offered;
  }
  double FirstRetryShare() const {
    return Share(served_at_first_retry, told_to_retry);
  }

 private:
  static double Share(int part, int all) {
    return all == 0 ? 0 : static_cast<double>(part) / all;
  }
};

/// @brief Urgent work that is cold and long beside short, warm work of the
/// same service, at about what the service bears.
/// @ingroup lab
CallerRetryPlan UrgentAndShortPlan();

/// @brief Runs the model in virtual time.
/// @return counts by the kind's name.
/// @ingroup lab
std::map<std::string, CallerRetryCounts> RunCallerRetryModel(
    const CallerRetryPlan& plan);

/// @brief What becomes of those told to return after a burst and after a
/// domain's loss, and of urgent and less urgent work under overload, as a
/// Markdown table: medians over the seeds from 1 up.
/// @ingroup lab
std::string MeasureCallerRetries(int seeds);

}  // namespace pathcleat
