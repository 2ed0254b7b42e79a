// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pathcleat/accounts/account.hpp"
#include "pathcleat/accounts/account_limiter.hpp"

namespace pathcleat {

/// @brief How the hosts of the model share an account's limit.
/// @ingroup lab
enum class QuotaPolicy {
  kAdaptive,    ///< QuotaControl, as entry hosts do
  kEqualShare,  ///< each host has an equal part of rate and burst
  kOwner,       ///< one host, chosen by hash, counts for all; asked each time
};

/// @brief What befalls one account during a model run. Times are seconds from
/// its start.
/// @ingroup lab
struct QuotaScenario {
  std::string name;
  AccountLimit limit;
  double usual_per_second = 0;  ///< requests a second
  double peak_factor = 1;       ///< times the usual, while it lasts
  double peak_from = 8;
  double peak_seconds = 6.5;
  int peak_hosts = 0;  ///< the account comes to so many hosts then; 0: all
  double partition_from =
      0;  ///< half of the domains hear nothing of the others
  double partition_seconds = 0;
  double kill_at = 0;  ///< so many hosts lose their memory
  double killed_share = 0;
  double down_seconds = 0.8;   ///< until they are back
  double limit_change_at = 0;  ///< the limit changes to a part of it
  double limit_factor = 1;
  double callers_move_at = 0;  ///< a third of the callers move to one domain
};

/// @brief Size and luck of a model run.
/// @ingroup lab
struct QuotaModelPlan {
  int domains = 6;
  int hosts_in_domain = 11;
  double seconds = 24;
  double datagram_loss = 0.01;  ///< share of datagrams
  QuotaBounds bounds;
  std::uint64_t seed = 1;
};

/// @brief What an outside counter sees.
/// @ingroup lab
struct QuotaModelResult {
  double max_window_ratio = 0;  ///< taken in a window, of what it may hold
  double refused_share_below_limit =
      0;  ///< share refused while demand was below the limit
  double peak_served_share = 0;  ///< during the rush's second half, of the rate
  double report_bytes_per_second = 0;  ///< between domains, a second
};

/// @brief Plays one account's requests through the hosts of a fleet that tell
/// each other late, lossily, or not at all.
/// @ingroup lab
QuotaModelResult RunQuotaModel(QuotaPolicy policy,
                               const QuotaScenario& trace,
                               const QuotaModelPlan& plan);

/// @brief The traces that the policies are compared on.
/// @ingroup lab
std::vector<QuotaScenario> QuotaScenarios();

/// @brief A table of all policies on all traces.
/// @ingroup lab
std::string CompareQuotaPolicies(std::uint64_t seed);

}  // namespace pathcleat
