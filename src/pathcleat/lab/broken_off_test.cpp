// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Requests in flight at upstreams stay there through changes of the fleet;
// requests that the host aborts are counted by cause.

#include "raw_client.hpp"
#include "test_cluster.hpp"

#include <vector>

namespace pathcleat {
namespace {

using std::chrono::milliseconds;
using Kind = UpstreamAction::Kind;

std::uint64_t AbortedCount(TestCluster& cluster, AbortCause cause) {
  const auto& counts = cluster.host(0).state().metrics.aborted();
  const auto found = counts.find(cause);
  return found == counts.end() ? 0 : found->second;
}

std::string PostText(const std::string& run_id) {
  return "POST /s/write/entry HTTP/1.1\r\nHost: test.example\r\nX-Run-Id: " +
         run_id + "\r\nContent-Length: 0\r\n\r\n";
}

// Sends one request; the n-th arrival at any upstream gets the n-th action.
CallResult GetWithActions(TestCluster& cluster,
                          const std::vector<UpstreamAction>& actions) {
  std::size_t arrivals = 0;
  cluster.ForEachUpstream([&](UpstreamStandIn& upstream) {
    upstream.SetActionChooser([&] { return actions.at(arrivals++); });
  });
  return cluster.Get(0, "r");
}

// Fails without OnAborted in UpstreamAttempt::Cancel.
Test(broken_off, failover_from_a_silent_upstream_is_counted) {
  TestCluster cluster;
  cluster.StartAll();
  const CallResult result =
      GetWithActions(cluster, {{Kind::kNeverAnswer, milliseconds(0)},
                               {Kind::kAnswer, milliseconds(0)}});
  cr_assert_eq(result.response.status, http_status::kOk);
  cr_assert_eq(AbortedCount(cluster, AbortCause::kFailoverTimeout), 1U);
  const std::string page = cluster.FetchMetrics(0).response.body.str();
  cr_assert_neq(page.find("pathcleat_broken_off_total{cause=\"patience\"} 1\n"),
                std::string::npos);
}

// A connection that the upstream closes is not counted as aborted by the host.
// Fails with closed_locally always set.
Test(broken_off, disconnect_by_the_upstream_is_not_counted) {
  TestCluster cluster;
  cluster.StartAll();
  GetWithActions(cluster, {{Kind::kDisconnect, milliseconds(0)},
                           {Kind::kAnswer, milliseconds(0)}});
  cr_assert(cluster.host(0).state().metrics.aborted().empty());
}

// Fails without OnAborted in UpstreamAttempt::Cancel.
Test(broken_off, deadline_is_counted_as_its_own_cause) {
  TestClusterPlan plan;
  plan.timeout = Duration(300'000);
  TestCluster cluster(plan);
  cluster.StartAll();
  const CallResult result =
      GetWithActions(cluster, {{Kind::kNeverAnswer, milliseconds(0)},
                               {Kind::kAnswer, milliseconds(0)}});
  cr_assert_eq(result.response.status, http_status::kGatewayTimeout);
  cr_assert_eq(AbortedCount(cluster, AbortCause::kDeadline), 1U);
}

// Requests in flight survive a drain, the removal of their upstreams, a new
// configuration without routes, and the stop of another host. Fails if
// ConnectionPool::CloseConnections also cancels connections in use.
Test(broken_off, changes_do_not_abort_requests_in_flight) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 1};
  plan.timeout = Duration(60'000'000);
  TestCluster cluster(plan);
  cluster.StartAll();
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  std::vector<std::unique_ptr<RawClient>> callers;
  constexpr std::size_t kCallers = 4;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<RawClient>(
        cluster.loop(), cluster.address(), cluster.CallerPort(0)));
    callers.back()->Send(PostText("r" + std::to_string(i)));
  }
  cr_assert(cluster.Await([&] { return cluster.InFlight() == kCallers; }));
  cluster.platform().SetDomainDrained("domain-0", true);
  for (std::size_t i = 0; i < cluster.upstream_count(); ++i) {
    cluster.platform().RemoveUpstream(cluster.upstream_info(i).id);
  }
  cluster.config().version = 2;
  cluster.config().routes.clear();
  cluster.platform().PutConfig(cluster.config());
  cluster.host(1).Stop([] {});
  cr_assert(cluster.Await([&] {
    GatewayState& state = cluster.host(0).state();
    return state.upstreams.size() == 0 && state.routes.version() == 2;
  }));
  cr_assert_eq(cluster.InFlight(), kCallers);
  cluster.ForEachUpstream([](UpstreamStandIn& u) {
    while (u.HeldAnswerCount() > 0) {
      u.ReleaseAnswer(0);
    }
  });
  for (std::size_t i = 0; i < kCallers; ++i) {
    const std::string end = "end r" + std::to_string(i);
    cr_assert(cluster.Await([&] { return callers[i]->HasReceived(end); }));
  }
  cr_assert_eq(cluster.TotalRuns(), kCallers);
  cr_assert(cluster.host(0).state().metrics.aborted().empty());
}

}  // namespace
}  // namespace pathcleat
