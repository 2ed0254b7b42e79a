// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// What must hold when the platform's store is away, wrong or forgetful.

#include "test_cluster.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

Test(faults, unreadable_rows_are_named_and_change_nothing) {
  TestCluster world;
  world.StartAll();
  world.platform().PutRaw("op", "config", "{\"Version\": \"nine");
  world.platform().PutRaw("servers", "upstream-bad", "[]");
  cr_assert(world.Await(
      [&] { return world.HasEvent(0, EventCode::kSettingsFault); }));
  cr_assert_eq(world.Get(0, "r1").response.status, http_status::kOk);
}

Test(faults, changes_arrive_after_history_was_lost_and_store_was_away) {
  TestCluster world;
  world.StartAll();
  platform::StandInFaults away;
  away.forced_status = http_status::kUnavailable;
  world.platform().SetFaults(away);
  world.platform().ForgetHistory();
  RoutingConfig newer = world.config();
  newer.version = 2;
  world.platform().PutConfig(newer);
  world.platform().RemoveUpstream("upstream-0-0");
  world.platform().ForgetHistory();
  cr_assert_eq(world.Get(0, "r1").response.status, http_status::kOk);
  world.platform().SetFaults({});
  cr_assert(world.Await([&] {
    return world.host(0).state().routes.version() == 2 &&
           world.host(0).state().upstreams.size() == 1;
  }));
}

// The platform turns one host away and serves the others: what they learn
// reaches it. Checked to fail with snapshots_.Fetch taken out.
Test(faults, host_turned_away_by_the_platform_follows_its_peers) {
  TestCluster world;
  world.StartAll();
  platform::StandInFaults away;
  away.rejected_addresses = {TestCluster::StoreClientAddress(1)};
  world.platform().SetFaults(away);
  RoutingConfig newer = world.config();
  newer.version = 2;
  world.platform().PutConfig(newer);
  UpstreamInfo leaving = world.upstream_info(0);
  leaving.leaving = true;
  world.platform().PutUpstream(leaving);
  world.platform().SetDomainDrained("domain-0", true);
  // The watches that wait at the platform may still have told one change.
  cr_assert(world.Await([&] {
    const GatewayState& state = world.host(1).state();
    const auto all = state.upstreams.All();
    return state.routes.version() == 2 &&
           state.upstreams.drained_domains().contains("domain-0") &&
           std::any_of(all.begin(), all.end(),
                       [](const UpstreamPtr& u) { return u->info.leaving; });
  }));
}

Test(faults, host_without_configuration_says_503_and_is_not_ready) {
  TestCluster world;
  platform::StandInFaults away;
  away.unresponsive = true;
  world.platform().SetFaults(away);
  world.StartHost(0);
  const CallResult get = world.Get(0, "r1");
  cr_assert_eq(get.response.status, http_status::kUnavailable);
  cr_assert_eq(world.QueryReadiness(0).response.status,
               http_status::kUnavailable);
  world.platform().SetFaults({});
  cr_assert(world.Await([&] { return world.host(0).IsReady(); }));
  cr_assert_eq(world.Get(0, "r2").response.status, http_status::kOk);
}

}  // namespace
}  // namespace pathcleat
