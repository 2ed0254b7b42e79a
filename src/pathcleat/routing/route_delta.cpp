// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/route_delta.hpp"

#include <bit>
#include <unordered_map>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

// Joins a route's fields into one hash. Each text is hashed by itself, so
// that no two different lists of fields read alike.
class RouteHash {
 public:
  void Add(const std::string& text) { Add(StableHash(text)); }
  void Add(double number) { Add(std::bit_cast<std::uint64_t>(number)); }
  void Add(std::uint64_t number) { hash_ = MixHashes(hash_, number); }

  std::uint64_t hash() const { return hash_; }

 private:
  std::uint64_t hash_ = 0;
};

std::uint64_t MarkOf(const Route& route) {
  RouteHash mark;
  mark.Add(route.name);
  mark.Add(route.host);
  mark.Add(route.path_prefix);
  mark.Add(static_cast<std::uint64_t>(route.splits.size()));
  for (const RouteSplit& split : route.splits) {
    mark.Add(split.service);
    mark.Add(split.weight);
  }
  mark.Add(static_cast<std::uint64_t>(route.repeatable));
  mark.Add(static_cast<std::uint64_t>(route.large_answers));
  mark.Add(static_cast<std::uint64_t>(route.sticky));
  mark.Add(static_cast<std::uint64_t>(route.priority));
  mark.Add(static_cast<std::uint64_t>(route.max_attempts));
  mark.Add(static_cast<std::uint64_t>(route.timeout.count()));
  mark.Add(static_cast<std::uint64_t>(route.target_latency.count()));
  mark.Add(static_cast<std::uint64_t>(route.home_regions.size()));
  for (const std::string& region : route.home_regions) {
    mark.Add(region);
  }
  return mark.hash();
}

bool HasPlaces(const std::vector<Route>& routes, const RouteStep& step) {
  return step.first <= routes.size() &&
         step.count <= routes.size() - step.first;
}

}  // namespace

RouteMarks MarksOf(const std::vector<Route>& routes) {
  RouteMarks marks;
  marks.reserve(routes.size());
  for (const Route& route : routes) {
    marks.push_back(MarkOf(route));
  }
  return marks;
}

std::uint64_t DigestOf(const RouteMarks& marks) {
  std::uint64_t digest = marks.size();
  for (const std::uint64_t mark : marks) {
    digest = MixHashes(digest, mark);
  }
  return digest;
}

std::vector<RouteStep> StepsBetween(const RouteMarks& old_marks,
                                    const std::vector<Route>& routes,
                                    const RouteMarks& marks) {
  std::unordered_map<std::uint64_t, std::uint32_t> places;
  for (std::uint32_t i = 0; i < old_marks.size(); ++i) {
    places.emplace(old_marks[i], i);
  }
  std::vector<RouteStep> steps(1);
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const auto place = places.find(marks[i]);
    if (place == places.end()) {
      steps.back().added.push_back(routes[i]);
      continue;
    }
    RouteStep& step = steps.back();
    if (step.added.empty() && step.first + step.count == place->second) {
      ++step.count;
    } else {
      steps.push_back({place->second, 1, {}});
    }
  }
  return steps;
}

std::optional<std::vector<Route>> ApplySteps(
    const std::vector<Route>& old_routes,
    const std::vector<RouteStep>& steps,
    std::uint64_t digest) {
  std::vector<Route> routes;
  for (const RouteStep& step : steps) {
    if (!HasPlaces(old_routes, step)) {
      return std::nullopt;
    }
    const auto from = old_routes.begin() + step.first;
    routes.insert(routes.end(), from, from + step.count);
    routes.insert(routes.end(), step.added.begin(), step.added.end());
  }
  if (DigestOf(MarksOf(routes)) != digest) {
    return std::nullopt;
  }
  return routes;
}

}  // namespace pathcleat
