// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// What a host's start costs at the store.

#include "test_cluster.hpp"

namespace pathcleat {
namespace {

// Calls that do not wait for changes.
std::uint64_t CallsOf(TestCluster& world, std::size_t host) {
  const Histogram& calls = world.StoreCallsOf(host).latency;
  return calls.CountUpTo(Histogram::kBucketBounds.size());
}

// Hundreds of hosts that start together pay for each call, hundreds of times.
// Reading secrets, commands and hosts by a call each made six, by the code; the
// test was not run on that.
Test(start_calls, start_makes_four_calls_and_learns_all_it_needs) {
  constexpr std::size_t kLate = 2;
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 1};
  TestCluster world(plan);
  world.StartHost(0);
  world.StartHost(1);
  cr_assert(world.Await([&] { return world.host(0).commands().IsLoaded(); }));
  cr_assert(
      world.Await([&] { return !world.host(0).secrets().peer_key().empty(); }));
  world.StartHost(kLate);
  cr_assert(world.Await([&] { return world.AreAllReady(); }));
  cr_assert(
      world.Await([&] { return world.host(kLate).commands().IsLoaded(); }));
  // The own row, the project's rows, and the platform's two tables.
  cr_assert_eq(CallsOf(world, kLate), 4U);
  cr_assert_str_eq(world.host(kLate).secrets().peer_key().c_str(),
                   world.host(0).secrets().peer_key().c_str());
}

}  // namespace
}  // namespace pathcleat
