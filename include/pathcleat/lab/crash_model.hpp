// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief A simulated fleet, without a network, whose upstreams crash: measures
/// how its hosts detect requests that crash upstreams, and which requests they
/// block wrongly.
/// @ingroup lab
struct CrashModelPlan {
  int domains = 6;
  int hosts_in_domain = 2;
  int upstreams = 24;
  /// Callers that each send one request of their own again and again.
  int repeating_callers = 200;
  Duration repeat_interval{1'000'000};
  Duration mean_run_time{500'000};  ///< of a request
  /// Interval at which the request that crashes upstreams arrives. Zero: never.
  Duration fatal_interval{0};
  Duration fatal_crash_delay{
      30'000};  ///< from the arrival of the fatal request to the crash
  /// Share of the upstreams that crash together for another reason, once each
  /// crash_interval. They are available again after restart_delay.
  double crashing_share = 0;
  Duration crash_interval{5'000'000};
  Duration restart_delay{3'000'000};
  Duration one_way_delay{12'000};  ///< between hosts
  Duration duration{60'000'000};
  bool answer_clears_request =
      true;  ///< whether an answer ends the suspicion of a request
  bool retry_suspected =
      false;  ///< whether hosts retry a request that they already suspect
  std::uint64_t seed = 1;
};

/// @brief Result of a run of the crash model.
/// @ingroup lab
struct CrashModelResult {
  int fatal_crashes = 0;      ///< upstreams that the fatal request crashed
  int repeated_requests = 0;  ///< requests of the repeating callers
  int wrongly_refused =
      0;  ///< repeated requests blocked as suspected of crashes
  int with_two_crashes =
      0;  ///< repeated requests with at least two counted crashes, which would
          ///< be blocked if two crashes sufficed
  int max_tracked_requests =
      0;  ///< largest number of requests that one host tracked at a time
};

/// @brief Runs the model in virtual time.
/// @ingroup lab
CrashModelResult RunCrashModel(const CrashModelPlan& plan);

}  // namespace pathcleat
