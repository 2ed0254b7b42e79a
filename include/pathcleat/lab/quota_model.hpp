// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pathcleat/accounts/account.hpp"
#include "pathcleat/accounts/account_limiter.hpp"

namespace pathcleat {

/// @brief How the hosts of the quota model share an account's limit.
/// @ingroup lab
enum class QuotaPolicy {
  kAdaptive,    ///< by QuotaControl, as entry hosts do
  kEqualShare,  ///< each host has an equal part of the rate and burst
  kOwner,  ///< one host, chosen by hash, admits requests for all hosts, which
           ///< query it for each request
};

/// @brief Load and faults during a model run. The results are those of one
/// account; other accounts may share the hosts and their reports. Times are
/// seconds from the start of the run.
/// @ingroup lab
struct QuotaScenario {
  std::string name;
  AccountLimit limit;
  double usual_per_second = 0;  ///< requests a second
  double peak_factor = 1;       ///< multiple of the usual rate in the peak
  double peak_from = 8;
  double peak_seconds = 6.5;
  /// Number of hosts that receive the requests of the peak; 0: all.
  int peak_hosts = 0;
  /// Start of a partition: each half of the domains receives nothing from the
  /// other half.
  double partition_from = 0;
  double partition_seconds = 0;
  double kill_at = 0;         ///< time at which hosts stop and lose their state
  double killed_share = 0;    ///< share of all hosts that stop at kill_at
  double down_seconds = 0.8;  ///< time until the stopped hosts have restarted
  double limit_change_at = 0;  ///< time at which rate and burst of the limit
                               ///< are multiplied by limit_factor
  double limit_factor = 1;
  /// Whether only reports from the first half of the domains to the second half
  /// are lost during a partition.
  bool partition_one_way = false;
  double new_hosts_at = 0;    ///< time at which further hosts start
  double new_host_share = 0;  ///< share of all hosts that start then
  /// Usual requests a second of the other accounts. Their limits and peaks
  /// relate to their usual rates as those of the first account.
  std::vector<double> other_usual;
  double callers_move_at = 0;  ///< time at which a third of the callers move
                               ///< to one domain
};

/// @brief Fleet size, packet loss and random seed of a model run.
/// @ingroup lab
struct QuotaModelPlan {
  int domains = 6;
  int hosts_in_domain = 11;
  /// Hosts in each domain, in place of domains and hosts_in_domain.
  std::vector<int> hosts_by_domain;
  int large_hosts_in_domain = 0;
  /// Requests at a large host for each request at a small host.
  double large_host_weight = 1;
  double seconds = 24;
  double datagram_loss = 0.01;  ///< share of datagrams lost
  QuotaBounds bounds;
  std::uint64_t seed = 1;
};

/// @brief Result of a model run, over the requests of all hosts.
/// @ingroup lab
struct QuotaModelResult {
  /// Requests admitted in the fullest window / requests allowed in a window, of
  /// the account for which this is largest.
  double max_window_ratio = 0;
  /// Share of requests refused while demand was below the limit.
  double refused_share_below_limit = 0;
  /// Share of requests refused in the peak although the windows that include
  /// them had room for a further request.
  double refused_share_with_room = 0;
  /// Admitted rate in the second half of the peak / rate of the limit.
  double peak_served_share = 0;
  double report_bytes_per_second = 0;  ///< usage reports between domains
};

/// @brief Simulates one account's requests at the hosts of a fleet whose usage
/// reports arrive late, are lost, or do not pass a network partition.
/// @ingroup lab
QuotaModelResult RunQuotaModel(QuotaPolicy policy,
                               const QuotaScenario& scenario,
                               const QuotaModelPlan& plan);

/// @brief The scenarios on which the policies are compared.
/// @ingroup lab
std::vector<QuotaScenario> QuotaScenarios();

/// @brief 88 hosts in six failure domains, two of them in each domain large.
/// @ingroup lab
QuotaModelPlan MixedFleetPlan(std::uint64_t seed);

/// @brief A text table with the results of all policies in all scenarios.
/// @ingroup lab
std::string CompareQuotaPolicies(const QuotaModelPlan& plan);

}  // namespace pathcleat
