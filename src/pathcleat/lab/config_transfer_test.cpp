// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// How a large configuration reaches all hosts, and what it costs their links.

#include "test_cluster.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

constexpr int kHosts = 12;

TestClusterPlan LargeDomain() {
  TestClusterPlan plan;
  plan.hosts_in_domain = {kHosts};
  return plan;
}

void PutVersion(TestCluster& world, std::uint64_t version) {
  world.config().version = version;
  world.platform().PutConfig(world.config());
}

bool AllAt(TestCluster& world, std::uint64_t version) {
  for (std::size_t i = 0; i < kHosts; ++i) {
    if (world.host(i).state().routes.version() != version) {
      return false;
    }
  }
  return true;
}

std::optional<Event> LastEvent(TestCluster& world,
                               std::size_t host,
                               EventCode code) {
  std::optional<Event> last;
  for (const Event& event : world.host(host).state().events.Snapshot()) {
    if (event.code == code) {
      last = event;
    }
  }
  return last;
}

bool Follows(TestCluster& world, std::size_t host) {
  return world.host(host).Versions().store_access ==
         StoreAccess::kFollowingPeer;
}

template <class Value>
Value FieldOf(const Event& event, const std::string& name) {
  for (const EventField& field : event.fields) {
    if (field.name == name) {
      return std::get<Value>(field.value);
    }
  }
  return Value();
}

std::size_t AwaitFollower(TestCluster& world) {
  std::size_t follower = kHosts;
  cr_assert(world.Await([&] {
    for (std::size_t i = 0; i < kHosts; ++i) {
      follower = Follows(world, i) ? i : follower;
    }
    return follower < kHosts;
  }));
  return follower;
}

Test(config_transfer, log_tells_from_where_a_version_came) {
  TestCluster world(LargeDomain());
  world.StartAll();
  PutVersion(world, 2);
  cr_assert(world.Await([&] { return AllAt(world, 2); }));
  const std::size_t follower = AwaitFollower(world);
  PutVersion(world, 3);
  cr_assert(world.Await([&] { return AllAt(world, 3); }));
  const auto event = LastEvent(world, follower, EventCode::kConfigApplied);
  cr_assert(event.has_value());
  cr_assert_eq(FieldOf<std::int64_t>(*event, field::kReplaces), 2);
  cr_assert_gt(FieldOf<std::int64_t>(*event, field::kBytes), 0);
  const auto from = FieldOf<std::string>(*event, field::kFrom);
  cr_assert(from == "store" || from.starts_with("host-"), "%s", from.c_str());
}

void AddRoutes(RoutingConfig& config, int count) {
  for (int i = 0; i < count; ++i) {
    Route route = config.routes.front();
    route.name = "more-" + std::to_string(i);
    route.path_prefix = "/more/" + std::to_string(i) + "/";
    route.allowed_regions = {"region-0"};
    config.routes.push_back(route);
  }
}

std::uint64_t OrdersSent(TestCluster& world) {
  std::uint64_t sent = 0;
  for (std::size_t i = 0; i < kHosts; ++i) {
    sent +=
        world.host(i).state().peer_traffic.bytes_sent(PeerMessageKind::kOrders);
  }
  return sent;
}

// 1,400 routes known, each change of one carried all of them to each follower:
// at 10 Mbit/s a host that served seven was busy for two seconds (issue 22).
Test(config_transfer, one_changed_route_costs_a_small_part_of_the_whole) {
  constexpr int kRoutes = 1'400;
  constexpr std::uint64_t kMostBytes = 64UL * 1024;
  TestCluster world(LargeDomain());
  world.StartAll();
  AddRoutes(world.config(), kRoutes);
  PutVersion(world, 2);
  cr_assert(world.Await([&] { return AllAt(world, 2); }));
  AwaitFollower(world);
  const std::uint64_t before = OrdersSent(world);
  world.config().routes.back().timeout += Duration(1'000);
  PutVersion(world, 3);
  cr_assert(world.Await([&] { return AllAt(world, 3); }));
  const std::uint64_t sent = OrdersSent(world) - before;
  cr_assert_lt(sent, kMostBytes, "%lu bytes", sent);
}

}  // namespace
}  // namespace pathcleat
