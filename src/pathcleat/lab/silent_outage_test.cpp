// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The store accepts calls for a while without ever answering them, and answers
// all later calls.

#include "test_cluster.hpp"

namespace pathcleat {
namespace {

constexpr std::size_t kHosts = 4;

bool AllHaveVersion(TestCluster& cluster, std::uint64_t version) {
  for (std::size_t i = 0; i < kHosts; ++i) {
    if (cluster.host(i).state().routes.version() != version) {
      return false;
    }
  }
  return true;
}

// Guards against hosts that open a watch while the store does not answer and
// wait for its full length: all hosts then miss every change for 20 s.
Test(silent_outage, hosts_receive_changes_once_the_store_answers_again) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 2};
  TestCluster cluster(plan);
  cluster.StartAll();
  platform::StandInFaults faults;
  faults.unresponsive = true;
  cluster.platform().SetFaults(faults);
  const std::uint64_t calls_before = cluster.platform().calls();
  cluster.platform().CloseFeeds();
  // Each host watches two topics.
  cr_assert(cluster.Await(
      [&] { return cluster.platform().calls() >= calls_before + 2 * kHosts; }));
  cluster.platform().SetFaults({});
  RoutingConfig new_config = cluster.config();
  new_config.version = 2;
  cluster.platform().PutConfig(new_config);
  const Time answering_since = BootClock::now();
  cr_assert(cluster.Await([&cluster] { return AllHaveVersion(cluster, 2); }));
  // The strictest limit within which hosts must be in contact with the store
  // again.
  constexpr Duration kContactTimeout{3'000'000};
  cr_assert_lt((BootClock::now() - answering_since).count(),
               kContactTimeout.count());
}

}  // namespace
}  // namespace pathcleat
