// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// A request that crashes each upstream that starts to run it, repeated at any
// host.

#include "test_cluster.hpp"

namespace pathcleat {
namespace {

constexpr const char* kFatalTarget = "/s/read/fatal";
constexpr std::size_t kHosts = 4;

// Two failure domains with two hosts and eight upstreams each.
TestClusterPlan MakePlan() {
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 2};
  plan.upstreams_in_domain = 8;
  return plan;
}

void CrashOnFatalTarget(TestCluster& cluster) {
  cluster.ForEachUpstream(
      [](UpstreamStandIn& upstream) { upstream.CrashOnTarget(kFatalTarget); });
}

int CrashedCount(TestCluster& cluster) {
  int crashed = 0;
  cluster.ForEachUpstream([&crashed](UpstreamStandIn& upstream) {
    crashed += upstream.HasCrashed() ? 1 : 0;
  });
  return crashed;
}

// Removes crashed upstreams from the list, as the store does when they have
// been silent for a while.
void RemoveCrashedFromList(TestCluster& cluster) {
  for (std::size_t i = 0; i < cluster.upstream_count(); ++i) {
    if (cluster.upstream(i).HasCrashed()) {
      cluster.platform().RemoveUpstream(cluster.upstream_info(i).id);
    }
  }
  const auto left = cluster.upstream_count() -
                    static_cast<std::size_t>(CrashedCount(cluster));
  cr_assert(cluster.Await([&cluster, left] {
    for (std::size_t host = 0; host < kHosts; ++host) {
      if (cluster.host(host).state().upstreams.size() != left) {
        return false;
      }
    }
    return true;
  }));
}

// Sends the same request each time, under a new request id.
CallResult SendFatal(TestCluster& cluster, std::size_t host, int try_number) {
  HttpRequest request = cluster.GetRequest("try-" + std::to_string(try_number));
  request.target = kFatalTarget;
  return cluster.SendToHost(host, request);
}

// Guards against hosts that send on a request which has crashed upstreams
// elsewhere: it crashed each upstream of its service.
Test(crashing_request,
     is_refused_by_all_hosts_once_it_crashed_three_upstreams) {
  constexpr int kTries = 12;
  constexpr int kMaxCrashed = 6;  // three, and one more in each of three tries
  TestCluster cluster(MakePlan());
  cluster.StartAll();
  CrashOnFatalTarget(cluster);
  CallResult last;
  for (int i = 0; i < kTries; ++i) {
    last = SendFatal(cluster, static_cast<std::size_t>(i) % kHosts, i);
    RemoveCrashedFromList(cluster);
  }
  cr_assert_leq(CrashedCount(cluster), kMaxCrashed);
  cr_assert_eq(last.response.status, http_status::kUnavailable);
  cr_assert_eq(cluster.Get(0, "other").response.status, http_status::kOk);
}

}  // namespace
}  // namespace pathcleat
