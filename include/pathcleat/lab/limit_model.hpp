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
  kFewSenders,     ///< as RateSenders does: few hosts send to the upstream, and
                   ///< all hosts are informed of the limit
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
  /// From this time until limited_until, hosts of the first half of the domains
  /// and hosts of the other half receive no messages from each other. Zero: no
  /// partition.
  Duration partition_from{0};
  /// Every n-th host, where n is this number, restarts without state halfway
  /// between limited_from and limited_until. Zero: no host restarts.
  int restart_one_in = 0;
  std::uint64_t seed = 1;
};

/// @brief Result of a run of the limit model. Windows are 4 s long. Requests to
/// an upstream are counted from 3 s after a host first received the limit of
/// the upstream until limited_until.
/// @ingroup lab
struct LimitModelResult {
  double max_window_ratio =
      0;  ///< requests in the fullest window / requests allowed in a window
  double max_informed_window_ratio =
      0;  ///< the same ratio, only for requests of hosts that have had the
          ///< limit for 0.5 s
  double used_share = 0;  ///< requests sent / requests that the limits allow,
                          ///< mean over the limited upstreams
  double refused_share =
      0;  ///< share of the requests that no upstream accepted
  /// Seconds from limited_until until no host applied a limit any more.
  double end_delay_seconds = 0;
  double bytes_per_host_per_second =
      0;  ///< bytes of limit reports sent, per second from limited_from to
          ///< limited_until
};

/// @brief Runs the model in virtual time.
/// @ingroup lab
LimitModelResult RunLimitModel(const LimitModelPlan& plan);

}  // namespace pathcleat
