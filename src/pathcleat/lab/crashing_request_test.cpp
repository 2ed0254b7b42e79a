// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// A request that crashes each upstream that begins to run it, asked again and
// again at any host.

#include "test_cluster.hpp"

namespace pathcleat {
namespace {

constexpr const char* kFatalTarget = "/s/read/fatal";
constexpr std::size_t kHosts = 4;

// Two failure domains with two hosts and eight upstreams each.
TestClusterPlan Plan() {
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 2};
  plan.upstreams_in_domain = 8;
  return plan;
}

void MakeFatal(TestCluster& world) {
  world.ForEachUpstream(
      [](UpstreamStandIn& upstream) { upstream.CrashOnTarget(kFatalTarget); });
}

int Crashed(TestCluster& world) {
  int crashed = 0;
  world.ForEachUpstream([&crashed](UpstreamStandIn& upstream) {
    crashed += upstream.HasCrashed() ? 1 : 0;
  });
  return crashed;
}

// As the store does once they have been silent for a while.
void TakeCrashedOffTheList(TestCluster& world) {
  for (std::size_t i = 0; i < world.upstream_count(); ++i) {
    if (world.upstream(i).HasCrashed()) {
      world.platform().RemoveUpstream(world.upstream_info(i).id);
    }
  }
  const auto left =
      world.upstream_count() - static_cast<std::size_t>(Crashed(world));
  cr_assert(world.Await([&world, left] {
    for (std::size_t host = 0; host < kHosts; ++host) {
      if (world.host(host).state().upstreams.size() != left) {
        return false;
      }
    }
    return true;
  }));
}

// The same request each time but for its id.
CallResult AskFatal(TestCluster& world, std::size_t host, int try_number) {
  HttpRequest request = world.GetRequest("try-" + std::to_string(try_number));
  request.target = kFatalTarget;
  return world.SendToHost(host, request);
}

// Guards against hosts that pass a request on that has crashed upstreams
// elsewhere: it brought down each upstream of its service.
Test(crashing_request,
     is_refused_by_all_hosts_once_it_crashed_three_upstreams) {
  constexpr int kTries = 12;
  constexpr int kMostCrashed = 6;  // three, and one in each of three tries more
  TestCluster world(Plan());
  world.StartAll();
  MakeFatal(world);
  CallResult last;
  for (int i = 0; i < kTries; ++i) {
    last = AskFatal(world, static_cast<std::size_t>(i) % kHosts, i);
    TakeCrashedOffTheList(world);
  }
  cr_assert_leq(Crashed(world), kMostCrashed);
  cr_assert_eq(last.response.status, http_status::kUnavailable);
  cr_assert_eq(world.Get(0, "other").response.status, http_status::kOk);
}

}  // namespace
}  // namespace pathcleat
