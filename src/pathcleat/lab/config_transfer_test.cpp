// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Distribution of a large configuration to all hosts, and its cost on their
// links.

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

void PublishVersion(TestCluster& cluster, std::uint64_t version) {
  cluster.config().version = version;
  cluster.platform().PutConfig(cluster.config());
}

bool AllHostsAt(TestCluster& cluster, std::uint64_t version) {
  for (std::size_t i = 0; i < kHosts; ++i) {
    if (cluster.host(i).state().routes.version() != version) {
      return false;
    }
  }
  return true;
}

std::optional<Event> LastEvent(TestCluster& cluster,
                               std::size_t host,
                               EventCode code) {
  std::optional<Event> last;
  for (const Event& event : cluster.host(host).state().events.Snapshot()) {
    if (event.code == code) {
      last = event;
    }
  }
  return last;
}

bool Follows(TestCluster& cluster, std::size_t host) {
  return cluster.host(host).Versions().store_access ==
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

std::size_t AwaitFollower(TestCluster& cluster) {
  std::size_t follower = kHosts;
  cr_assert(cluster.Await([&] {
    for (std::size_t i = 0; i < kHosts; ++i) {
      follower = Follows(cluster, i) ? i : follower;
    }
    return follower < kHosts;
  }));
  return follower;
}

Test(config_transfer, log_names_the_source_of_a_version) {
  TestCluster cluster(LargeDomain());
  cluster.StartAll();
  PublishVersion(cluster, 2);
  cr_assert(cluster.Await([&] { return AllHostsAt(cluster, 2); }));
  const std::size_t follower = AwaitFollower(cluster);
  PublishVersion(cluster, 3);
  cr_assert(cluster.Await([&] { return AllHostsAt(cluster, 3); }));
  const auto event = LastEvent(cluster, follower, EventCode::kConfigApplied);
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

std::uint64_t OrderBytesSent(TestCluster& cluster) {
  std::uint64_t sent = 0;
  for (std::size_t i = 0; i < kHosts; ++i) {
    sent += cluster.host(i).state().peer_traffic.bytes_sent(
        PeerMessageKind::kOrders);
  }
  return sent;
}

// Guards against a change of one of 1,400 routes sending all routes to each
// follower: at 10 Mbit/s a host that served seven followers was busy for two
// seconds.
Test(config_transfer, one_changed_route_costs_a_small_part_of_a_full_update) {
  constexpr int kRoutes = 1'400;
  constexpr std::uint64_t kMaxBytes = 64UL * 1024;
  TestCluster cluster(LargeDomain());
  cluster.StartAll();
  AddRoutes(cluster.config(), kRoutes);
  PublishVersion(cluster, 2);
  cr_assert(cluster.Await([&] { return AllHostsAt(cluster, 2); }));
  AwaitFollower(cluster);
  const std::uint64_t before = OrderBytesSent(cluster);
  cluster.config().routes.back().timeout += Duration(1'000);
  PublishVersion(cluster, 3);
  cr_assert(cluster.Await([&] { return AllHostsAt(cluster, 3); }));
  const std::uint64_t sent = OrderBytesSent(cluster) - before;
  cr_assert_lt(sent, kMaxBytes, "%lu bytes", sent);
}

}  // namespace
}  // namespace pathcleat
