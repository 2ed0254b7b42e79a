// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Calls to the store that the start of a host makes.

#include "test_cluster.hpp"

namespace pathcleat {
namespace {

// Number of calls other than watches, which wait for changes.
std::uint64_t NonWatchCalls(TestCluster& cluster, std::size_t host) {
  const Histogram& calls = cluster.StoreCallsOf(host).latency;
  return calls.CountUpTo(Histogram::kBucketBounds.size());
}

// When hundreds of hosts start together, each call is made hundreds of times.
// Reading secrets, commands and hosts by one call each would make six calls
// (counted in the code, not by this test).
Test(start_calls, start_makes_four_calls_and_loads_all_it_needs) {
  constexpr std::size_t kLateHost = 2;
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 1};
  TestCluster cluster(plan);
  cluster.StartHost(0);
  cluster.StartHost(1);
  cr_assert(
      cluster.Await([&] { return cluster.host(0).commands().IsLoaded(); }));
  cr_assert(cluster.Await(
      [&] { return !cluster.host(0).secrets().peer_key().empty(); }));
  cluster.StartHost(kLateHost);
  cr_assert(cluster.Await([&] { return cluster.AreAllReady(); }));
  cr_assert(cluster.Await(
      [&] { return cluster.host(kLateHost).commands().IsLoaded(); }));
  // One call for the host's own row, one for the rows of pathcleat, and one for
  // each of the two tables of the platform.
  cr_assert_eq(NonWatchCalls(cluster, kLateHost), 4U);
  cr_assert_str_eq(cluster.host(kLateHost).secrets().peer_key().c_str(),
                   cluster.host(0).secrets().peer_key().c_str());
}

}  // namespace
}  // namespace pathcleat
