// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief How the hosts of the routing model choose an upstream.
/// @ingroup lab
enum class RoutingModelPolicy {
  kPicker,  ///< UpstreamPicker, as entry hosts do
  /// Of the three best upstreams by UpstreamPicker, one by shares that fall
  /// with the expected latency.
  kWeightedShares,
  kPickerNoKey,     ///< UpstreamPicker without affinity keys
  kRandomInRegion,  ///< a random upstream of the host's region
  /// All slots of all regions serve one unbounded queue without network delay:
  /// an ideal for comparison.
  kSharedQueue,
};

/// @brief Stable lower-case name of a policy.
/// @ingroup lab
const char* ToString(RoutingModelPolicy policy);

/// @brief Options of a run of the routing model. Hosts send directly to
/// upstreams, which queue a few requests and run requests faster whose key they
/// served recently.
/// @ingroup lab
struct RoutingModelPlan {
  RoutingModelPolicy policy = RoutingModelPolicy::kPicker;
  int regions = 3;
  int hosts_in_region = 3;
  int upstreams_in_region = 8;
  /// By region; empty: upstreams_in_region in each.
  std::vector<int> upstreams_by_region;
  /// Of the hosts of a region, this many get `large_host_weight` times the
  /// requests of another one.
  int large_hosts_in_region = 0;
  double large_host_weight = 1;
  /// Load reports arrive up to this much later than the answers.
  Duration max_report_delay{0};
  /// Decay of the weights of kWeightedShares, as a share of the target latency.
  double share_spread = 0.25;
  int slots = 3;
  int queue_capacity = 9;
  int keys = 120;
  int cached_keys = 50;  ///< recently served keys that an upstream keeps
  Duration round_trip_between_regions{24'000};
  /// Mean run time of a request whose key was not served recently.
  Duration mean_cold_run_time{640'000};
  /// Factor on the run time of a request whose key was served recently.
  double warm_run_share = 0.3;
  Duration target_latency{400'000};
  Duration timeout{3'000'000};
  double requests_per_second = 200;
  /// Share of the requests that arrive in each region.
  std::vector<double> region_shares{0.5, 0.3, 0.2};
  Duration warm_up{
      10'000'000};  ///< requests that arrive in this time are not counted
  Duration duration{40'000'000};
  std::uint64_t seed = 1;
};

/// @brief Result of a run of the routing model.
/// @ingroup lab
struct RoutingModelResult {
  int offered = 0;
  int in_target = 0;  ///< answered within the target latency
  int late = 0;       ///< answered after the target latency
  int refused = 0;    ///< not run: no upstream chosen, or rejected
  int rejected = 0;   ///< of the refused: rejected by a full upstream
  double p50_ms = 0;  ///< latency of answered requests
  double p99_ms = 0;
  double other_region_share = 0;  ///< share run outside the caller's region
  /// Requests that wait although a slot of another upstream of the same region
  /// is free, as a share of all requests at upstreams: the extent of herding.
  double misplaced_share = 0;

  double InTargetShare() const {
    return offered == 0 ? 0 : static_cast<double>(in_target) / offered;
  }
};

/// @brief Runs the model in virtual time.
/// @ingroup lab
RoutingModelResult RunRoutingModel(const RoutingModelPlan& plan);

/// @brief Compares the policies at several loads. Returns a Markdown table of
/// medians over the seeds 1 to `seeds`.
/// @ingroup lab
std::string MeasureRouting(int seeds);

/// @brief Compares the policies in a fleet like that of
/// docs/design/new-customers.md: a region has a third of the demand and a tenth
/// of the upstreams, and load reports are up to a second old. Returns a
/// Markdown table of medians over the seeds 1 to `seeds`.
/// @ingroup lab
std::string MeasureUnevenRouting(int seeds);

}  // namespace pathcleat
