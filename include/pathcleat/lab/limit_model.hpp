// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief A way to keep the limit that an upstream names over all hosts.
/// @ingroup lab
enum class LimitStrategy {
  kNone,           ///< hosts send on as before
  kEqualShare,     ///< each host that was told takes the limit over the hosts
  kReportedUsage,  ///< hosts tell each other what they send, and stay below
  kFewSenders,     ///< as the product: few hosts send, all are told
};

/// @brief A fleet of hosts before upstreams of which some name a limit, without
/// a network.
/// @ingroup lab
struct LimitModelPlan {
  LimitStrategy strategy = LimitStrategy::kFewSenders;
  int domains = 6;
  int hosts_in_domain = 2;
  int upstreams = 24;
  int limited_upstreams = 8;         ///< of them, that name a limit
  double limit_per_second = 1;       ///< that each names
  double requests_per_second = 130;  ///< of all hosts together
  int slots = 3;
  Duration mean_run_time{400'000};
  Duration limited_from{4'000'000};
  Duration limited_until{24'000'000};
  Duration duration{40'000'000};
  Duration one_way_delay{12'000};  ///< between hosts
  /// From here on hosts of the first half of the domains do not hear those of
  /// the other half, until the need ends. Zero: they always do.
  Duration partition_from{0};
  /// One host in so many starts again in the middle of the need, and knows
  /// nothing. Zero: none.
  int restart_one_in = 0;
  std::uint64_t seed = 1;
};

/// @brief What came of it. Windows are of 4 s, from 3 s after an upstream first
/// named its limit to the end of its need.
/// @ingroup lab
struct LimitModelResult {
  double max_window_ratio = 0;  ///< fullest window over what it may hold
  double max_informed_window_ratio =
      0;                     ///< the same, of hosts that were told 0.5 s before
  double used_share = 0;     ///< part of the limits that was used
  double refused_share = 0;  ///< part of the requests that no upstream took
  /// Until the last host knew that the need was over, seconds.
  double end_delay_seconds = 0;
  double bytes_per_host_per_second =
      0;  ///< told to others while in need, a second
};

/// @brief Plays the plan.
/// @ingroup lab
LimitModelResult RunLimitModel(const LimitModelPlan& plan);

}  // namespace pathcleat
