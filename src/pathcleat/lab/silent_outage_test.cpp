// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The store takes calls in silence for a while and never answers those; later
// calls are answered.

#include "test_cluster.hpp"

namespace pathcleat {
namespace {

constexpr std::size_t kHosts = 4;

bool AllHave(TestCluster& world, std::uint64_t version) {
  for (std::size_t i = 0; i < kHosts; ++i) {
    if (world.host(i).state().routes.version() != version) {
      return false;
    }
  }
  return true;
}

// Guards against a watch that is begun while the store is silent and trusted
// for its whole length: all hosts missed every change for 20 s.
Test(silent_outage, hosts_hear_of_changes_once_the_store_answers_again) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 2};
  TestCluster world(plan);
  world.StartAll();
  platform::StandInFaults silent;
  silent.unresponsive = true;
  world.platform().SetFaults(silent);
  const std::uint64_t before = world.platform().calls();
  world.platform().CloseFeeds();
  // Each host watches two topics.
  cr_assert(world.Await(
      [&] { return world.platform().calls() >= before + 2 * kHosts; }));
  world.platform().SetFaults({});
  RoutingConfig newer = world.config();
  newer.version = 2;
  world.platform().PutConfig(newer);
  const Time began = BootClock::now();
  cr_assert(world.Await([&world] { return AllHave(world, 2); }));
  // The shortest time within which hosts must be back in touch.
  constexpr Duration kContact{3'000'000};
  cr_assert_lt((BootClock::now() - began).count(), kContact.count());
}

}  // namespace
}  // namespace pathcleat
