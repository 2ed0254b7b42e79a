// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief A fleet whose upstreams crash, without a network: what its hosts
/// find out about requests that crash upstreams, and whom they wrong.
/// @ingroup lab
struct CrashModelPlan {
  int domains = 6;
  int hosts_in_domain = 2;
  int upstreams = 24;
  /// Callers that send the same request over and over.
  int repeating_callers = 200;
  Duration repeat_interval{1'000'000};
  Duration mean_run_time{500'000};  ///< of a request, on average
  /// The request that crashes upstreams: how often it comes. Zero: never.
  Duration fatal_interval{0};
  Duration fatal_crash_delay{30'000};
  /// Part of the upstreams that crash at one moment by themselves, and how
  /// often. They are back after restart_delay.
  double crashing_share = 0;
  Duration crash_interval{5'000'000};
  Duration restart_delay{3'000'000};
  Duration one_way_delay{12'000};  ///< between hosts
  Duration duration{60'000'000};
  bool answer_clears_request = true;  ///< an answer clears a request
  bool retry_suspected = false;  ///< also where others ended under it before
  std::uint64_t seed = 1;
};

/// @brief What came of it.
/// @ingroup lab
struct CrashModelResult {
  int fatal_crashes = 0;      ///< upstreams that the fatal request brought down
  int repeated_requests = 0;  ///< requests of the repeaters
  int wrongly_refused = 0;    ///< of them, as they were taken for the cause
  int with_two_crashes =
      0;  ///< of them, with two crashes: refused if two sufficed
  int max_tracked_requests = 0;  ///< requests that one host knew at once
};

/// @brief Plays the plan.
/// @ingroup lab
CrashModelResult RunCrashModel(const CrashModelPlan& plan);

}  // namespace pathcleat
