// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/list_delta.hpp"

#include <algorithm>

#include "pathcleat/routing/route.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

// Routes with few different contents, so that lists share many routes and
// repeat some.
std::vector<Route> GenerateRoutes() {
  std::vector<Route> routes;
  const auto numbers =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
  for (const int number : numbers) {
    Route route;
    route.name = "r" + std::to_string(number);
    route.path_prefix = "/" + std::to_string(number / 2) + "/";
    route.splits = {{"s", 1.0 + number % 3}};
    routes.push_back(route);
  }
  return routes;
}

std::size_t AddedCount(const std::vector<ListDeltaStep<Route>>& steps) {
  std::size_t added = 0;
  for (const ListDeltaStep<Route>& step : steps) {
    added += step.added.size();
  }
  return added;
}

// Fails with a step's added entries placed before the copied ones.
Test(list_delta, steps_lead_from_any_list_to_any_other) {
  cr_assert(Holds("the new list in its order", [] {
    const auto old_routes = GenerateRoutes();
    const auto routes = GenerateRoutes();
    const ListHashes hashes = ContentHashes(routes);
    const auto steps =
        ComputeListDelta(ContentHashes(old_routes), routes, hashes);
    const auto result = ApplyListDelta(old_routes, steps, DigestOf(hashes));
    RC_ASSERT(result.has_value());
    RC_ASSERT(ContentHashes(*result) == hashes);
  }));
}

Test(list_delta, only_what_differs_is_added) {
  std::vector<Route> routes(1'400);
  for (std::size_t i = 0; i < routes.size(); ++i) {
    routes[i].name = std::to_string(i);
  }
  const ListHashes old_hashes = ContentHashes(routes);
  routes[700].allowed_regions = {"north"};
  const auto steps =
      ComputeListDelta(old_hashes, routes, ContentHashes(routes));
  cr_assert_eq(AddedCount(steps), 1U);
  cr_assert_eq(steps.size(), 2U);
}

// Guards against a host that takes a changed route for an unchanged one and
// keeps using the old one: every field counts.
Test(list_delta, routes_that_differ_in_any_field_have_different_hashes) {
  const Route plain{"n", "h", "/p/", {{"s", 1}}};
  std::vector<Route> routes(14, plain);
  routes[1].name = "o";
  routes[2].host = "i";
  routes[3].path_prefix = "/q/";
  routes[4].splits = {{"s", 2}};
  routes[5].splits = {{"t", 1}};
  routes[6].repeatable = true;
  routes[7].large_answers = true;
  routes[8].sticky = true;
  routes[9].priority = 1;
  routes[10].max_attempts = 2;
  routes[11].timeout += Duration(1);
  routes[12].target_latency += Duration(1);
  routes[13].needs_account_key = false;
  routes.push_back(plain);
  routes.back().allowed_regions = {"north"};
  ListHashes hashes = ContentHashes(routes);
  std::sort(hashes.begin(), hashes.end());
  cr_assert(std::adjacent_find(hashes.begin(), hashes.end()) == hashes.end());
}

// Fails without the comparison of digests in ApplyListDelta.
Test(list_delta, steps_of_another_list_are_refused) {
  const std::vector<Route> old_routes(3);
  std::vector<Route> routes(3);
  routes[0].name = "new";
  const ListHashes hashes = ContentHashes(routes);
  const auto steps =
      ComputeListDelta(ContentHashes(old_routes), routes, hashes);
  std::vector<Route> other(3);
  other[0].name = "other";
  cr_assert(ApplyListDelta(old_routes, steps, DigestOf(hashes)).has_value());
  cr_assert_not(ApplyListDelta(other, steps, DigestOf(hashes)).has_value());
  cr_assert_not(ApplyListDelta<Route>({}, steps, DigestOf(hashes)).has_value());
}

}  // namespace
}  // namespace pathcleat
