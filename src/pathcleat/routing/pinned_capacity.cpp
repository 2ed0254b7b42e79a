// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/pinned_capacity.hpp"

#include <algorithm>
#include <cmath>

namespace pathcleat {
namespace {

// Recent requests that the averages cover: a few seconds of traffic at a
// typical host.
constexpr double kAveragedRequests = 100;
// Weight of each new figure of the demand. Figures arrive four times a second,
// so the estimate follows the demand within about 2 s.
constexpr double kDemandWeight = 0.12;
// The reported share changes in steps of this size, as a share of the slots.
constexpr double kStep = 0.125;
// The reported share changes once the exact share is more than this many steps
// away from it.
constexpr double kHysteresisSteps = 0.75;
// Maximum share of a region's slots that is reported. The other slots are left
// to requests that may run elsewhere, as each region has callers of its own.
constexpr double kMaxShare = 0.875;

}  // namespace

void PinnedCapacity::OnPlaced(const std::string& service, Duration run) {
  for (auto& [name, usage] : usage_by_service_) {
    usage.requests *= 1 - 1 / kAveragedRequests;
  }
  ServiceUsage& usage = usage_by_service_[service];
  const double seconds = std::chrono::duration<double>(run).count();
  const double weight = usage.requests > 0 ? std::max(1 / kAveragedRequests,
                                                      1 / (usage.requests + 1))
                                           : 1;
  usage.run_seconds += (seconds - usage.run_seconds) * weight;
  usage.requests += 1;
}

double PinnedCapacity::RunSecondsOf(const std::string& service) const {
  const auto usage = usage_by_service_.find(service);
  return usage == usage_by_service_.end() ? 0 : usage->second.run_seconds;
}

void PinnedCapacity::SetDemand(
    const std::map<std::string, double>& per_second) {
  for (auto& [region, demand] : demand_by_region_) {
    const auto now = per_second.find(region);
    const double target = now == per_second.end() ? 0 : now->second;
    demand += (target - demand) * kDemandWeight;
  }
  for (const auto& [region, demand] : per_second) {
    demand_by_region_.try_emplace(region, demand * kDemandWeight);
  }
}

double PinnedCapacity::ExactShare(const std::string& service,
                                  const std::string& region,
                                  double slots) const {
  const auto demand = demand_by_region_.find(region);
  const auto usage = usage_by_service_.find(service);
  if (demand == demand_by_region_.end() || usage == usage_by_service_.end() ||
      slots <= 0) {
    return 0;
  }
  double requests = 0;
  for (const auto& [name, other] : usage_by_service_) {
    requests += other.requests;
  }
  const double busy = demand->second * usage->second.requests / requests *
                      usage->second.run_seconds;
  return std::min(kMaxShare, busy / slots);
}

double PinnedCapacity::ShareOf(const std::string& service,
                               const std::string& region,
                               double slots) {
  const double exact = ExactShare(service, region, slots);
  double& reported = reported_shares_[{service, region}];
  if (std::abs(exact - reported) > kStep * kHysteresisSteps) {
    reported = std::round(exact / kStep) * kStep;
  }
  return reported;
}

}  // namespace pathcleat
