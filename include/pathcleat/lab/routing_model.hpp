// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief How the model's hosts choose an upstream.
/// @ingroup lab
enum class RoutingModelPolicy {
  kPicker,          ///< UpstreamPicker, as shipped
  kPickerNoKey,     ///< the same without affinity keys
  kRandomInRegion,  ///< any upstream of the own region
  kSharedQueue,  ///< one perfect queue over all slots, with no network at all
};

/// @brief Stable lower-case name of a policy.
/// @ingroup lab
const char* ToString(RoutingModelPolicy policy);

/// @brief One run of the model: hosts that send directly to upstreams which
/// queue a few requests and are quicker at keys that they lately served.
/// @ingroup lab
struct RoutingModelPlan {
  RoutingModelPolicy policy = RoutingModelPolicy::kPicker;
  int regions = 3;
  int hosts_in_region = 3;
  int upstreams_in_region = 8;
  int slots = 3;
  int queue_capacity = 9;
  int keys = 120;
  int cached_keys = 50;  ///< by an upstream
  Duration round_trip_between_regions{24'000};
  Duration mean_cold_run_time{
      640'000};                 ///< mean run time of a key not lately served
  double warm_run_share = 0.3;  ///< of it, where the key was lately served
  Duration target_latency{400'000};
  Duration timeout{3'000'000};
  double requests_per_second = 200;
  std::vector<double> region_shares{0.5, 0.3, 0.2};  ///< of arrivals
  Duration warm_up{10'000'000};                      ///< not counted
  Duration duration{40'000'000};
  std::uint64_t seed = 1;
};

/// @brief What a run of the model gave.
/// @ingroup lab
struct RoutingModelResult {
  int offered = 0;
  int in_target = 0;
  int late = 0;
  int refused = 0;    ///< by a host, at once
  int rejected = 0;   ///< by a full upstream
  double p50_ms = 0;  ///< of the answered
  double p99_ms = 0;
  double other_region_share = 0;  ///< run in another region than the caller's

  double InTargetShare() const {
    return offered == 0 ? 0 : static_cast<double>(in_target) / offered;
  }
};

/// @brief Runs the model in virtual time.
/// @ingroup lab
RoutingModelResult RunRoutingModel(const RoutingModelPlan& plan);

/// @brief The policies side by side at several loads, as a Markdown table:
/// medians over the seeds from 1 up.
/// @ingroup lab
std::string MeasureRouting(int seeds);

}  // namespace pathcleat
