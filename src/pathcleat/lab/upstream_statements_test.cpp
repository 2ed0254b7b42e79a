// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Upstreams that state in their answers that they leave, or how long this host
// is to send them nothing.

#include <algorithm>

#include "test_cluster.hpp"

namespace pathcleat {
namespace {

constexpr Duration kDrainTime{2'000'000};

// Sends requests to each host in turn for a while, each about another object,
// so that all upstreams get some of them.
void SendRequests(TestCluster& cluster, std::size_t hosts, Duration duration) {
  const Time end = BootClock::now() + duration;
  for (std::size_t i = 0; BootClock::now() < end; ++i) {
    HttpRequest request = cluster.GetRequest("r" + std::to_string(i));
    request.headers.push_back(
        {platform::PlatformHeaderNames().affinity_key, std::to_string(i)});
    cluster.SendToHost(i % hosts, request);
  }
}

std::ptrdiff_t ArrivalsBetween(const UpstreamStandIn& upstream,
                               Time from,
                               Time to) {
  const auto& arrivals = upstream.ledger().arrivals;
  return std::count_if(
      arrivals.begin(), arrivals.end(),
      [from, to](Time arrival) { return arrival > from && arrival < to; });
}

// Guards against hosts that ignore an upstream's announcement in its answers:
// it got requests until the store listed it as leaving, 12 s later.
Test(promise, upstream_that_announces_leaving_gets_nothing_new) {
  TestCluster cluster;
  cluster.StartAll();
  UpstreamStandIn& leaving = cluster.upstream(0);
  leaving.SetLeavingHeader("1");
  const Time announced = BootClock::now();
  SendRequests(cluster, 2, kDrainTime * 2);
  cr_assert_eq(
      ArrivalsBetween(leaving, announced + kDrainTime, BootClock::now()), 0);
}

// Guards against hosts that ignore an upstream's Retry-After: seven requests of
// one host reached an upstream within the 3 s for which it wanted none.
Test(promise, upstream_gets_nothing_in_the_time_it_asked_for) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1};
  TestCluster cluster(plan);
  cluster.StartAll();
  UpstreamStandIn& rejecting = cluster.upstream(0);
  rejecting.RejectWithRetryAfter("1.5");
  SendRequests(cluster, 1, Duration(3'000'000));
  const auto& arrivals = rejecting.ledger().arrivals;
  cr_assert_not(arrivals.empty());
  for (const Time rejected : arrivals) {
    cr_assert_eq(
        ArrivalsBetween(rejecting, rejected, rejected + Duration(1'500'000)),
        0);
  }
}

}  // namespace
}  // namespace pathcleat
