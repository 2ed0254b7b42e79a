// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "pathcleat/core/mechanism.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/http/http_limits.hpp"
#include "pathcleat/rollouts/rollout_bounds.hpp"
#include "pathcleat/routing/route.hpp"

namespace pathcleat {

/// @brief Configuration of a TestCluster; each region has one failure domain.
struct TestClusterPlan {
  std::vector<int> hosts_in_domain{2};
  int upstreams_in_domain = 2;
  int slots = 2;
  std::chrono::milliseconds service_time{2};
  HttpLimits caller_limits;
  Duration timeout{5'000'000};
  Duration stop_grace{2'500'000};
  /// Time after the store answers again within which hosts receive changes.
  Duration contact{3'000'000};
  bool upstreams_enforce_deadlines = false;
  /// The time after which an upstream counts as silent is estimated from this
  /// target while the upstream has not responded yet.
  Duration target_latency = Route().target_latency;
  /// Whether a proxy stands before each upstream, by which hosts can be cut off
  /// from it (TestCluster::CutHost).
  bool upstreams_behind_proxies = false;
  PolicySwitches policy;  ///< of all hosts
  /// Bound on the revocation of keys; missing: none is stated.
  std::optional<Duration> revoke;
  RolloutBounds rollout_bounds{0.1, 50, Duration(5'000'000)};
  /// Indices of hosts with other secrets than the rest, so that the rest accept
  /// no messages from them.
  std::set<std::size_t> isolated_hosts;
};

}  // namespace pathcleat
