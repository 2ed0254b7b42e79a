// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/split_balancer.hpp"

#include <algorithm>
#include <numeric>

#include "pathcleat/routing/route_table.hpp"

namespace pathcleat {
namespace {

// Requests move from one split to another once the first split would exceed its
// share by more than one request plus this part of all recent requests.
constexpr double kMaxExcessShare = 0.02;
// Number of requests after which an earlier request counts about a third as
// much as a new request.
constexpr double kDecayRequests = 200;

}  // namespace

bool SplitBalancer::Matches(const Counts& counts, const Route& route) {
  return std::equal(counts.splits.begin(), counts.splits.end(),
                    route.splits.begin(), route.splits.end(),
                    [](const RouteSplit& a, const RouteSplit& b) {
                      return a.service == b.service && a.weight == b.weight;
                    });
}

std::string SplitBalancer::Choose(const Route& route, double position) {
  if (route.splits.size() <= 1) {
    return route.splits.empty() ? std::string() : route.splits[0].service;
  }
  Counts& counts = counts_[route.name];
  if (!Matches(counts, route)) {
    counts = {route.splits, std::vector<double>(route.splits.size(), 0), 0};
  }
  const double weights = std::accumulate(
      route.splits.begin(), route.splits.end(), 0.0,
      [](double sum, const RouteSplit& s) { return sum + s.weight; });
  // Requests by which a split would exceed its share if it were chosen now.
  const auto excess = [&](std::size_t i) {
    return counts.chosen[i] + 1 -
           (counts.total + 1) * route.splits[i].weight / weights;
  };
  auto chosen = static_cast<std::size_t>(PickSplit(route, position) -
                                         route.splits.data());
  if (excess(chosen) > 1 + kMaxExcessShare * counts.total) {
    for (std::size_t i = 0; i < route.splits.size(); ++i) {
      chosen = excess(i) < excess(chosen) ? i : chosen;
    }
  }
  counts.chosen[chosen] += 1;
  counts.total += 1;
  const double decay = 1 - 1 / kDecayRequests;
  counts.total *= decay;
  for (double& count : counts.chosen) {
    count *= decay;
  }
  return route.splits[chosen].service;
}

}  // namespace pathcleat
