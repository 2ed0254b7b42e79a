// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The store of the platform is unavailable, holds invalid rows or has lost its
// history.

#include "test_cluster.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

Test(faults, unreadable_rows_are_reported_and_change_nothing) {
  TestCluster cluster;
  cluster.StartAll();
  cluster.platform().PutRaw("op", "config", "{\"Version\": \"nine");
  cluster.platform().PutRaw("servers", "upstream-bad", "[]");
  cr_assert(cluster.Await(
      [&] { return cluster.HasEvent(0, EventCode::kSettingsFault); }));
  cr_assert_eq(cluster.Get(0, "r1").response.status, http_status::kOk);
}

Test(faults, changes_arrive_after_lost_history_and_an_outage) {
  TestCluster cluster;
  cluster.StartAll();
  platform::StandInFaults faults;
  faults.forced_status = http_status::kUnavailable;
  cluster.platform().SetFaults(faults);
  cluster.platform().ForgetHistory();
  RoutingConfig new_config = cluster.config();
  new_config.version = 2;
  cluster.platform().PutConfig(new_config);
  cluster.platform().RemoveUpstream("upstream-0-0");
  cluster.platform().ForgetHistory();
  cr_assert_eq(cluster.Get(0, "r1").response.status, http_status::kOk);
  cluster.platform().SetFaults({});
  cr_assert(cluster.Await([&] {
    return cluster.host(0).state().routes.version() == 2 &&
           cluster.host(0).state().upstreams.size() == 1;
  }));
}

// The platform rejects one host and serves the others. The rejected host
// receives changes from its peers. Fails without peers_.Fetch in
// RelayedSource::FetchFromPeer.
Test(faults, host_rejected_by_the_platform_follows_its_peers) {
  TestCluster cluster;
  cluster.StartAll();
  platform::StandInFaults faults;
  faults.rejected_addresses = {TestCluster::StoreClientAddress(1)};
  cluster.platform().SetFaults(faults);
  RoutingConfig new_config = cluster.config();
  new_config.version = 2;
  cluster.platform().PutConfig(new_config);
  UpstreamInfo leaving = cluster.upstream_info(0);
  leaving.leaving = true;
  cluster.platform().PutUpstream(leaving);
  cluster.platform().SetDomainDrained("domain-0", true);
  // The rejected host may still have received one change directly, over the
  // watches that it had opened at the platform before.
  cr_assert(cluster.Await([&] {
    const GatewayState& state = cluster.host(1).state();
    const auto all = state.upstreams.All();
    return state.routes.version() == 2 &&
           state.upstreams.drained_domains().contains("domain-0") &&
           std::any_of(all.begin(), all.end(),
                       [](const UpstreamPtr& u) { return u->info.leaving; });
  }));
}

Test(faults, host_without_configuration_answers_503_and_is_not_ready) {
  TestCluster cluster;
  platform::StandInFaults faults;
  faults.unresponsive = true;
  cluster.platform().SetFaults(faults);
  cluster.StartHost(0);
  const CallResult get = cluster.Get(0, "r1");
  cr_assert_eq(get.response.status, http_status::kUnavailable);
  cr_assert_eq(cluster.QueryReadiness(0).response.status,
               http_status::kUnavailable);
  cluster.platform().SetFaults({});
  cr_assert(cluster.Await([&] { return cluster.host(0).IsReady(); }));
  cr_assert_eq(cluster.Get(0, "r2").response.status, http_status::kOk);
}

}  // namespace
}  // namespace pathcleat
