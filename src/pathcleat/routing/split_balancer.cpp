// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/split_balancer.hpp"

#include <algorithm>
#include <numeric>

#include "pathcleat/routing/route_table.hpp"

namespace pathcleat {
namespace {

// A split may be so far over its share before keys leave it.
constexpr double kTolerance = 0.02;
// Requests after which old counts have faded to a third.
constexpr double kMemory = 200;

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
  // How many requests a split is ahead of its share, were it chosen now.
  const auto ahead = [&](std::size_t i) {
    return counts.chosen[i] + 1 -
           (counts.total + 1) * route.splits[i].weight / weights;
  };
  auto chosen = static_cast<std::size_t>(PickSplit(route, position) -
                                         route.splits.data());
  if (ahead(chosen) > 1 + kTolerance * counts.total) {
    for (std::size_t i = 0; i < route.splits.size(); ++i) {
      chosen = ahead(i) < ahead(chosen) ? i : chosen;
    }
  }
  counts.chosen[chosen] += 1;
  counts.total += 1;
  const double fade = 1 - 1 / kMemory;
  counts.total *= fade;
  for (double& count : counts.chosen) {
    count *= fade;
  }
  return route.splits[chosen].service;
}

}  // namespace pathcleat
