// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "pathcleat/core/time.hpp"
#include "pathcleat/steer/owner_table.hpp"
#include "pathcleat/steer/pool_router.hpp"

namespace pathcleat {

/// @brief How the model serves requests.
/// @ingroup lab
enum class ModelServing {
  kOwners,       ///< entry hosts choose an owner; owners keep slots and queues
  kSharedQueue,  ///< one perfect queue over all slots, with no network at all
};

/// @brief One run of the model: the decision core in virtual time, fed with
/// the workload of one deployment. One service; latencies are one way.
/// @ingroup lab
struct ModelPlan {
  ModelServing serving = ModelServing::kOwners;
  RoutePolicy policy = RoutePolicy::kExpectedTime;
  OwnerOptions owner;
  bool retries = true;
  bool retry_budget = true;
  int regions = 3;
  int hosts_in_region = 3;
  int instances_in_region = 8;
  int slots = 2;
  Duration latency_in_region{1'500};
  Duration latency_between_regions{12'000};
  Duration service_time{40'000};    ///< mean, exponential
  Duration report_period{250'000};  ///< of owners' reports to hosts
  Duration report_delay{100'000};   ///< extra age of each report
  double load = 0.8;                ///< offered, as a share of capacity
  std::array<double, 3> region_share{0.45, 0.33, 0.22};  ///< of arrivals
  std::array<double, kPriorityCount> priority_share{0.2, 0.7, 0.1};
  std::array<Duration, kPriorityCount> deadline{
      Duration(3'000'000), Duration(2'000'000), Duration(5'000'000)};
  Duration length{60'000'000};
  std::uint64_t seed = 1;
};

/// @brief What came of one priority's requests.
/// @ingroup lab
struct ModelClass {
  int offered = 0;
  int in_time = 0;  ///< answered before the deadline
  int late = 0;     ///< ran, and its answer came too late
  int refused = 0;
};

/// @brief Result of a run; a warm-up of a tenth of the length is left out.
/// @ingroup lab
struct ModelResult {
  double p50_ms = 0;
  double p99_ms = 0;
  double goodput = 0;  ///< in time, over what all slots can do
  double refusal_p99_ms = 0;
  double attempts = 0;      ///< sent to owners, per request offered
  double headroom_low = 0;  ///< least free share of any region's slots, mean
  int over_slots = 0;       ///< counted at the instances
  std::array<ModelClass, kPriorityCount> classes;
};

/// @brief Runs the model.
/// @ingroup lab
ModelResult RunModel(const ModelPlan& plan);

}  // namespace pathcleat
