// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Work that upstreams are at is left to them, and counted where it is not.

#include "raw_client.hpp"
#include "test_cluster.hpp"

#include <vector>

namespace pathcleat {
namespace {

using std::chrono::milliseconds;
using Kind = UpstreamAction::Kind;

std::uint64_t BrokenOff(TestCluster& world, AbortCause cause) {
  const auto& counts = world.host(0).state().metrics.aborted();
  const auto found = counts.find(cause);
  return found == counts.end() ? 0 : found->second;
}

std::string PostText(const std::string& run_id) {
  return "POST /s/write/entry HTTP/1.1\r\nHost: test.example\r\nX-Run-Id: " +
         run_id + "\r\nContent-Length: 0\r\n\r\n";
}

// Plays one request against upstreams that do so at each arrival.
CallResult AskWith(TestCluster& world,
                   const std::vector<UpstreamAction>& acts) {
  std::size_t arrivals = 0;
  world.ForEachUpstream([&](UpstreamStandIn& upstream) {
    upstream.SetActionChooser([&] { return acts.at(arrivals++); });
  });
  return world.Get(0, "r");
}

// Checked to fail without OnAborted in UpstreamAttempt::Cancel.
Test(broken_off, silent_upstream_that_is_left_is_counted) {
  TestCluster world;
  world.StartAll();
  const CallResult got = AskWith(world, {{Kind::kNeverAnswer, milliseconds(0)},
                                         {Kind::kAnswer, milliseconds(0)}});
  cr_assert_eq(got.response.status, http_status::kOk);
  cr_assert_eq(BrokenOff(world, AbortCause::kFailoverTimeout), 1U);
  const std::string page = world.FetchMetrics(0).response.body;
  cr_assert_neq(page.find("pathcleat_broken_off_total{cause=\"patience\"} 1\n"),
                std::string::npos);
}

// An upstream that breaks off by itself is no doing of this host. Checked to
// fail with closed_locally set always.
Test(broken_off, upstream_that_breaks_off_is_not_counted) {
  TestCluster world;
  world.StartAll();
  AskWith(world, {{Kind::kDisconnect, milliseconds(0)},
                  {Kind::kAnswer, milliseconds(0)}});
  cr_assert(world.host(0).state().metrics.aborted().empty());
}

// Checked to fail without OnAborted in UpstreamAttempt::Cancel.
Test(broken_off, deadline_is_counted_as_such) {
  TestClusterPlan plan;
  plan.timeout = Duration(300'000);
  TestCluster world(plan);
  world.StartAll();
  const CallResult got = AskWith(world, {{Kind::kNeverAnswer, milliseconds(0)},
                                         {Kind::kAnswer, milliseconds(0)}});
  cr_assert_eq(got.response.status, http_status::kGatewayTimeout);
  cr_assert_eq(BrokenOff(world, AbortCause::kDeadline), 1U);
}

// What the fleet, the list and the configuration go through leaves work where
// it is. Checked to fail with UpstreamPool::Drop made to cancel connections in
// use too.
Test(broken_off, changes_leave_work_where_it_is) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 1};
  plan.timeout = Duration(60'000'000);
  TestCluster world(plan);
  world.StartAll();
  world.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  std::vector<std::unique_ptr<RawClient>> callers;
  constexpr std::size_t kCallers = 4;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<RawClient>(world.loop(), world.address(),
                                                  world.CallerPort(0)));
    callers.back()->Send(PostText("r" + std::to_string(i)));
  }
  cr_assert(world.Await([&] { return world.InFlight() == kCallers; }));
  world.platform().SetDomainDrained("domain-0", true);
  for (std::size_t i = 0; i < world.upstream_count(); ++i) {
    world.platform().RemoveUpstream(world.upstream_info(i).id);
  }
  world.config().version = 2;
  world.config().routes.clear();
  world.platform().PutConfig(world.config());
  world.host(1).Stop([] {});
  cr_assert(world.Await([&] {
    GatewayState& state = world.host(0).state();
    return state.upstreams.size() == 0 && state.routes.version() == 2;
  }));
  cr_assert_eq(world.InFlight(), kCallers);
  world.ForEachUpstream([](UpstreamStandIn& u) {
    while (u.HeldAnswerCount() > 0) {
      u.ReleaseAnswer(0);
    }
  });
  for (std::size_t i = 0; i < kCallers; ++i) {
    const std::string end = "end r" + std::to_string(i);
    cr_assert(world.Await([&] { return callers[i]->HasReceived(end); }));
  }
  cr_assert_eq(world.TotalRuns(), kCallers);
  cr_assert(world.host(0).state().metrics.aborted().empty());
}

}  // namespace
}  // namespace pathcleat
