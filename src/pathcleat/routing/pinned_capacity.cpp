// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/pinned_capacity.hpp"

#include <algorithm>
#include <cmath>

namespace pathcleat {
namespace {

// Of so many requests placed here, a few seconds' worth at a host of today.
constexpr double kRequestsKept = 100;
// What an account's demand is followed by, each time that it is told, four
// times a second: about two seconds.
constexpr double kFollow = 0.12;
// Steps in which the taken part is told, and how far it must lie beyond one.
constexpr double kStep = 0.125;
constexpr double kBeyondStep = 0.75;
// Something is left to the others always: a region has its own callers.
constexpr double kMostTaken = 0.875;

}  // namespace

void PinnedCapacity::OnPlaced(const std::string& service, Duration run) {
  for (auto& [name, use] : uses_) {
    use.requests *= 1 - 1 / kRequestsKept;
  }
  Use& use = uses_[service];
  const double seconds = std::chrono::duration<double>(run).count();
  const double weight =
      use.requests > 0 ? std::max(1 / kRequestsKept, 1 / (use.requests + 1))
                       : 1;
  use.run_seconds += (seconds - use.run_seconds) * weight;
  use.requests += 1;
}

double PinnedCapacity::RunSecondsOf(const std::string& service) const {
  const auto use = uses_.find(service);
  return use == uses_.end() ? 0 : use->second.run_seconds;
}

void PinnedCapacity::SetDemand(
    const std::map<std::string, double>& per_second) {
  for (auto& [region, demand] : demand_) {
    const auto now = per_second.find(region);
    const double target = now == per_second.end() ? 0 : now->second;
    demand += (target - demand) * kFollow;
  }
  for (const auto& [region, demand] : per_second) {
    demand_.try_emplace(region, demand * kFollow);
  }
}

double PinnedCapacity::Taken(const std::string& service,
                             const std::string& region,
                             double slots) const {
  const auto demand = demand_.find(region);
  const auto use = uses_.find(service);
  if (demand == demand_.end() || use == uses_.end() || slots <= 0) {
    return 0;
  }
  double requests = 0;
  for (const auto& [name, other] : uses_) {
    requests += other.requests;
  }
  const double busy = demand->second * use->second.requests / requests *
                      use->second.run_seconds;
  return std::min(kMostTaken, busy / slots);
}

double PinnedCapacity::ShareOf(const std::string& service,
                               const std::string& region,
                               double slots) {
  const double taken = Taken(service, region, slots);
  double& told = told_[{service, region}];
  if (std::abs(taken - told) > kStep * kBeyondStep) {
    told = std::round(taken / kStep) * kStep;
  }
  return told;
}

}  // namespace pathcleat
