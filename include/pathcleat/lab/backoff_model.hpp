// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief What the hosts of the backoff model do when an upstream rejects a
/// request and asks for time without requests.
/// @ingroup lab
enum class BackoffStrategy {
  kIgnored,         ///< they send on
  kSuspended,       ///< they treat the rejection as a failure of the upstream
  kHostAtOnce,      ///< the host that was told sends nothing, then all at once
  kHostWithTrials,  ///< as UpstreamBackoff: spread, and one trial at a time
  kDomainHint,      ///< as kHostWithTrials; the other hosts of the domain avoid
                    ///< the upstream while others have room
  kDomain,          ///< as kHostWithTrials; all hosts of the domain are told
};

/// @brief Stable lower-case name of a strategy.
/// @ingroup lab
const char* ToString(BackoffStrategy strategy);

/// @brief Options of a run of the backoff model: hosts with their pickers send
/// to upstreams, some of which reject everything for a while. Each upstream
/// with a full queue rejects as well.
/// @ingroup lab
struct BackoffModelPlan {
  BackoffStrategy strategy = BackoffStrategy::kHostWithTrials;
  int domains = 3;
  int hosts_in_domain = 3;
  int upstreams_in_domain = 8;
  int rejecting_upstreams = 8;  ///< of all domains, in turn
  int slots = 3;
  int queue_capacity = 3;
  Duration mean_run_time{200'000};
  Duration one_way_delay{12'000};  ///< between domains
  Duration retry_after{3'000'000};
  double requests_per_second = 200;
  Duration rejecting_from{5'000'000};
  Duration rejecting_until{14'000'000};
  Duration duration{25'000'000};
  std::uint64_t seed = 1;
};

/// @brief Result of a run of the backoff model.
/// @ingroup lab
struct BackoffModelResult {
  int offered = 0;   ///< requests while upstreams reject, and until the end
  int served = 0;    ///< of them
  int refused = 0;   ///< of them, without an attempt
  int rejected = 0;  ///< of them, after their last attempt
  int wasted_attempts = 0;  ///< attempts that an upstream rejected
  /// Most requests of one host that reached an upstream between half a second
  /// after it asked for time and the end of that time.
  int max_in_backoff = 0;
  /// Most upstreams besides those that reject everything that asked some host
  /// for time at the same time.
  int max_cascade = 0;
  /// Most requests that reached one upstream within 0.1 s after the end.
  int max_return_burst = 0;
  int offered_afterwards = 0;  ///< later than 4 s after the end
  int served_afterwards = 0;   ///< of them
};

/// @brief Runs the model in virtual time.
/// @ingroup lab
BackoffModelResult RunBackoffModel(const BackoffModelPlan& plan);

/// @brief Compares the strategies. Returns a Markdown table; of each value the
/// worst or the mean over the seeds 1 to `seeds`.
/// @ingroup lab
std::string MeasureBackoffs(int seeds);

}  // namespace pathcleat
