// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/route_table.hpp"

#include "pathcleat/core/hash.hpp"
#include "pathcleat/routing/split_balancer.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

Route RouteAt(const std::string& host, const std::string& prefix) {
  Route route;
  route.name = host + prefix;
  route.host = host;
  route.path_prefix = prefix;
  route.splits = {{"service", 1}};
  return route;
}

RoutingConfig ConfigAt(std::uint64_t version) {
  RoutingConfig config;
  config.version = version;
  config.routes = {RouteAt("a.example", "/"), RouteAt("a.example", "/x/"),
                   RouteAt("a.example", "/x/y/"), RouteAt("b.example", "/x/")};
  config.services = {{"service", "/health", 0, 0}};
  return config;
}

Test(route_table, longest_prefix_of_the_host_wins) {
  RouteTable table;
  cr_assert_not(table.IsLoaded());
  cr_assert(table.ReplaceIfNewer(ConfigAt(1)));
  const auto name = [&table](const char* host, const char* target) {
    const auto route = table.Find(host, target);
    return route ? route->name : std::string("none");
  };
  cr_assert_str_eq(name("a.example", "/x/y/z").c_str(), "a.example/x/y/");
  cr_assert_str_eq(name("a.example", "/x/z?q=/x/y/").c_str(), "a.example/x/");
  cr_assert_str_eq(name("A.Example:80", "/z").c_str(), "a.example/");
  cr_assert_str_eq(name("b.example", "/x").c_str(), "none");
  cr_assert_str_eq(name("c.example", "/x/").c_str(), "none");
}

Test(promise, routing_version_only_rises) {
  cr_assert(Holds("whatever order versions arrive in", [] {
    RouteTable table;
    std::uint64_t newest = 0;
    const auto versions = *rc::gen::container<std::vector<std::uint64_t>>(
        rc::gen::inRange<std::uint64_t>(1, 20));
    for (const std::uint64_t version : versions) {
      RC_ASSERT(table.ReplaceIfNewer(ConfigAt(version)) == (version > newest));
      newest = std::max(newest, version);
      RC_ASSERT(table.version() == newest);
    }
  }));
}

// Guards against a dangling route: a request may still use a route after a
// newer version has replaced it.
Test(route_table, route_in_use_outlives_its_version) {
  RouteTable table;
  table.ReplaceIfNewer(ConfigAt(1));
  const auto route = table.Find("a.example", "/x/");
  RoutingConfig empty;
  empty.version = 2;
  table.ReplaceIfNewer(empty);
  cr_assert_str_eq(route->name.c_str(), "a.example/x/");
  cr_assert(table.Find("a.example", "/x/") == nullptr);
}

// Fails without the correction in SplitBalancer::Choose.
Test(split_balancer, shares_keep_their_weights_with_few_popular_keys) {
  cr_assert(Holds("within 0.1 of the weight over 400 requests", [] {
    Route route = RouteAt("a.example", "/");
    const double weight = *rc::gen::inRange(1, 10) / 10.0;
    route.splits = {{"one", weight}, {"two", 1 - weight}};
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    SplitBalancer balancer;
    int first = 0;
    constexpr int kRequests = 400;
    for (int i = 0; i < kRequests; ++i) {
      const double position = UnitIntervalHash(std::to_string(i % 5), seed);
      first += balancer.Choose(route, position) == "one" ? 1 : 0;
    }
    const double share = static_cast<double>(first) / kRequests;
    RC_ASSERT(share > weight - 0.1);
    RC_ASSERT(share < weight + 0.1);
  }));
}

}  // namespace
}  // namespace pathcleat
