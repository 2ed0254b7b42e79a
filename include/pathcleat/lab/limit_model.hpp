// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief How hosts keep the rate limit of an upstream over all hosts together.
/// @ingroup lab
enum class LimitStrategy {
  kNone,        ///< hosts ignore the limit
  kEqualShare,  ///< each informed host uses the limit divided by the host count
  kReportedUsage,  ///< hosts report to each other what they sent, and stop at
                   ///< the limit
  kFewSenders,     ///< as RateSenders does: few hosts send, all are informed
};

/// @brief A simulated fleet of hosts, without a network, in front of upstreams
/// of which some report a rate limit.
/// @ingroup lab
struct LimitModelPlan {
  LimitStrategy strategy = LimitStrategy::kFewSenders;
  int domains = 6;
  int hosts_in_domain = 2;
  int upstreams = 24;
  int limited_upstreams = 8;         ///< upstreams that report a limit
  double limit_per_second = 1;       ///< of each limited upstream
  double requests_per_second = 130;  ///< of all hosts together
  int slots = 3;
  Duration mean_run_time{400'000};
  Duration limited_from{4'000'000};
  Duration limited_until{24'000'000};
  Duration duration{40'000'000};
  Duration one_way_delay{12'000};  ///< between hosts
  /// From then until limited_until, hosts of the first half of the domains and
  /// hosts of the other half get no messages of each other. Zero: no partition.
  Duration partition_from{0};
  /// One of so many hosts restarts without state, halfway between limited_from
  /// and limited_until. Zero: none.
  int restart_one_in = 0;
  std::uint64_t seed = 1;
};

/// @brief Result of a run of the limit model. Windows are 4 s long. They are
/// counted from 3 s after a host first received the limit of the upstream until
/// limited_until.
/// @ingroup lab
struct LimitModelResult {
  double max_window_ratio = 0;  ///< fullest window / allowed requests
  double max_informed_window_ratio =
      0;  ///< the same for requests of hosts that have had the limit for 0.5 s
  double used_share = 0;  ///< share of the limits that was used
  double refused_share =
      0;  ///< share of the requests that no upstream accepted
  /// Seconds from limited_until until no host had a limit in force any more.
  double end_delay_seconds = 0;
  double bytes_per_host_per_second =
      0;  ///< limit reports sent, per second of the limited time
};

/// @brief Runs the model in virtual time.
/// @ingroup lab
LimitModelResult RunLimitModel(const LimitModelPlan& plan);

}  // namespace pathcleat
