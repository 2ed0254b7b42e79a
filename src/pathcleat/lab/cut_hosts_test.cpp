// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Some hosts are cut off from all upstreams, while callers, the store and the
// other hosts still reach them.

#include "test_cluster.hpp"

namespace pathcleat {
namespace {

// The time that a host has to notice a cut.
constexpr Duration kNoticeTime{3'000'000};
constexpr int kRequestsPerHost = 8;
constexpr int kWriteEvery = 4;  // of the requests, one in so many is a write

TestClusterPlan ThreeRegions() {
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 2, 2};
  plan.upstreams_behind_proxies = true;
  plan.slots = 8;
  plan.timeout = Duration(1'000'000);
  return plan;
}

bool IsCut(std::size_t host) {
  return host % 2 == 0;
}

struct CutFixture {
  TestCluster cluster;
  int sent = 0;

  explicit CutFixture(const TestClusterPlan& plan = ThreeRegions())
      : cluster(plan) {
    cluster.StartAll();
    SendToAll(2);
  }

  void Cut(CutMode mode) {
    for (std::size_t host = 0; host < 6; ++host) {
      if (IsCut(host)) {
        cluster.CutHost(host, mode);
      }
    }
  }

  void AwaitFirstHostIsolated() {
    cr_assert(cluster.Await([this] {
      Send(0);
      return cluster.host(0).state().reach.IsIsolated();
    }));
  }

  void EndCut() {
    for (std::size_t host = 0; host < 6; ++host) {
      cluster.EndCut(host);
    }
  }

  // Sends one request as a caller's first attempt; counts a whole answer.
  bool Send(std::size_t host) {
    const std::string id = "r" + std::to_string(++sent);
    const bool is_write = sent % kWriteEvery == 0;
    const CallResult result =
        is_write ? cluster.Post(host, id) : cluster.Get(host, id);
    const bool served = result.outcome == CallOutcome::kAnswered &&
                        result.response.status == http_status::kOk;
    if (is_write) {
      cr_assert_leq(cluster.RunsOf(id), 1);
    }
    if (TestCluster::OutcomeHeader(result) == "not-run") {
      cr_assert_eq(cluster.RunsOf(id), 0);
    }
    return served;
  }

  // Share of first attempts that are served, at cut hosts or at the others.
  struct Served {
    int cut = 0;
    int others = 0;
  };

  Served SendToAll(int count) {
    Served served;
    for (int i = 0; i < count; ++i) {
      for (std::size_t host = 0; host < 6; ++host) {
        (IsCut(host) ? served.cut : served.others) += Send(host) ? 1 : 0;
      }
    }
    return served;
  }

  void SendUntilNoticed() {
    const Time began = BootClock::now();
    while (BootClock::now() - began < kNoticeTime) {
      for (std::size_t host = 0; host < 6; ++host) {
        Send(host);
      }
    }
  }
};

// Sends a request to host 0 and does not wait for its answer.
HttpClientPtr SendToFirstHost(TestCluster& cluster,
                              const HttpRequest& request,
                              HttpClient::Callback callback) {
  constexpr Duration kTimeout{20'000'000};
  auto client = std::make_shared<HttpClient>(
      cluster.loop(),
      *ParseTcpEndpoint(cluster.host(0).state().settings.listen.callers),
      HttpLimits());
  client->Send(request, {kTimeout, kTimeout}, std::move(callback));
  return client;
}

// Guards against callers of hosts that are cut off from all upstreams being
// served less than two thirds as often as the callers of other hosts. Fails
// with the mechanism kForwarding switched off.
void CheckServedDuringCut(CutMode mode) {
  CutFixture fixture;
  fixture.Cut(mode);
  fixture.SendUntilNoticed();
  const CutFixture::Served served = fixture.SendToAll(kRequestsPerHost);
  cr_assert_eq(served.others, 3 * kRequestsPerHost);
  cr_assert_geq(3 * served.cut, 2 * served.others, "%d of %d", served.cut,
                served.others);
}

// Guards against a host failing its callers for as long as its links to the
// upstreams hang.
Test(cut_hosts, callers_are_served_while_connections_hang) {
  CheckServedDuringCut(CutMode::kHang);
}

// Guards against a host failing its callers for as long as its connections to
// the upstreams are reset.
Test(cut_hosts, callers_are_served_while_connections_are_reset) {
  CheckServedDuringCut(CutMode::kReset);
}

// Guards against a host that has a few live connections failing each request
// that needs a new one.
Test(cut_hosts, callers_are_served_while_new_connections_are_reset) {
  CheckServedDuringCut(CutMode::kRefuseNew);
}

// Guards against a host with few requests that never notices that connections
// hang: each request ends by its deadline before the upstream counts as silent.
Test(cut_hosts, host_with_few_requests_notices_that_connections_hang) {
  TestCluster cluster(ThreeRegions());
  cluster.StartAll();
  cluster.CutHost(0, CutMode::kHang);
  cr_assert_neq(cluster.Get(0, "first").response.status, http_status::kOk);
  cr_assert(cluster.Await(
      [&] { return cluster.host(0).state().reach.IsIsolated(); }));
  cr_assert_eq(cluster.Get(0, "second").response.status, http_status::kOk);
}

// Guards against requests in flight that wait for their whole time at the
// beginning of a cut, although other hosts reach the upstreams.
Test(cut_hosts, lookup_in_flight_is_moved_when_connections_hang) {
  CutFixture fixture;
  TestCluster& cluster = fixture.cluster;
  fixture.Cut(CutMode::kHang);
  int served = 0;
  for (int i = 0; i < 4; ++i) {
    const CallResult result = cluster.Get(0, "first" + std::to_string(i));
    served += result.response.status == http_status::kOk ? 1 : 0;
    if (result.response.status == http_status::kOk) {
      break;
    }
  }
  cr_assert_eq(served, 1);
  cr_assert(cluster.HasEvent(0, EventCode::kHostIsolated));
  cr_assert_gt(cluster.host(0).state().forwards.sent, 0U);
}

// Guards against a host that goes on forwarding, or refusing, after the end of
// a cut.
Test(cut_hosts, host_sends_to_upstreams_itself_after_the_cut) {
  CutFixture fixture;
  TestCluster& cluster = fixture.cluster;
  fixture.Cut(CutMode::kReset);
  fixture.AwaitFirstHostIsolated();
  fixture.EndCut();
  cr_assert(cluster.Await(
      [&] { return !cluster.host(0).state().reach.IsIsolated(); }));
  cr_assert(cluster.HasEvent(0, EventCode::kHostReconnected));
  const std::uint64_t forwarded = cluster.host(0).state().forwards.sent;
  for (int i = 0; i < 2 * kWriteEvery; ++i) {
    cr_assert(fixture.Send(0));
  }
  cr_assert_eq(cluster.host(0).state().forwards.sent, forwarded);
}

// Guards against callers who are sent to a host that reaches no upstream, while
// other hosts of its region do.
Test(cut_hosts, isolated_host_is_not_named_to_callers) {
  TestClusterPlan plan = ThreeRegions();
  plan.hosts_in_domain = {3, 2, 1};
  CutFixture fixture(plan);
  TestCluster& cluster = fixture.cluster;
  const std::string cut_address =
      cluster.host(0).state().hosts.self().caller_address;
  const auto names_cut_host = [&](std::size_t host) {
    const CallResult located = cluster.Locate(host, "?region=region-0");
    return located.response.body.str().find(cut_address) != std::string::npos;
  };
  cr_assert(names_cut_host(5));
  cluster.CutHost(0, CutMode::kReset);
  cr_assert(cluster.Await([&] {
    fixture.Send(0);
    return !names_cut_host(0) && !names_cut_host(1) && !names_cut_host(5);
  }));
  cluster.EndCut(0);
  cr_assert(cluster.Await([&] { return names_cut_host(5); }));
}

// Guards against requests that go round between hosts, and against answers that
// wait, while no host reaches the upstreams.
Test(cut_hosts, all_hosts_cut_refuse_and_forward_nothing_twice) {
  CutFixture fixture;
  TestCluster& cluster = fixture.cluster;
  for (std::size_t host = 0; host < 6; ++host) {
    cluster.CutHost(host, CutMode::kReset);
  }
  cr_assert(cluster.Await([&] {
    bool all_isolated = true;
    for (std::size_t host = 0; host < 6; ++host) {
      fixture.Send(host);
      all_isolated =
          all_isolated && cluster.host(host).state().reach.IsIsolated();
    }
    return all_isolated;
  }));
  const auto knows_all = [&](std::size_t host) {
    int isolated = 0;
    for (const HostEntry* other : cluster.host(host).state().hosts.Others()) {
      isolated += other->info.isolated ? 1 : 0;
    }
    return isolated == 5;
  };
  cr_assert(cluster.Await([&] { return knows_all(0); }));
  const std::uint64_t forwarded = cluster.host(0).state().forwards.sent;
  const CallResult post = cluster.Post(0, "nowhere");
  cr_assert_neq(post.response.status, http_status::kOk);
  cr_assert_eq(cluster.RunsOf("nowhere"), 0);
  cr_assert_eq(cluster.host(0).state().forwards.sent, forwarded);
}

// Guards against work that may not be repeated running again at another host,
// after its answer was lost in the cut.
Test(cut_hosts, write_whose_answer_was_cut_off_runs_once) {
  CutFixture fixture;
  TestCluster& cluster = fixture.cluster;
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  std::optional<CallResult> result;
  const HttpClientPtr client = SendToFirstHost(
      cluster, cluster.PostRequest("held"),
      [&](const CallResult& call_result) { result = call_result; });
  cr_assert(cluster.Await([&] { return cluster.RunsOf("held") == 1; }));
  fixture.Cut(CutMode::kReset);
  cr_assert(cluster.Await([&] { return result.has_value(); }));
  cr_assert_eq(TestCluster::OutcomeHeader(*result), "unknown");
  cr_assert_eq(cluster.RunsOf("held"), 1);
  client->Cancel();
}

// Guards against a caller that leaves while another host works on its request:
// the upstream must not go on.
Test(cut_hosts, caller_that_leaves_ends_forwarded_work) {
  CutFixture fixture;
  TestCluster& cluster = fixture.cluster;
  fixture.Cut(CutMode::kReset);
  fixture.AwaitFirstHostIsolated();
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  const HttpClientPtr client = SendToFirstHost(
      cluster, cluster.GetRequest("left"), [](const CallResult&) {});
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 1; }));
  client->Cancel();
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 0; }));
}

// Guards against requests of callers that pass themselves off as hosts.
Test(cut_hosts, forwarded_request_without_a_token_of_the_fleet_is_refused) {
  TestCluster cluster{ThreeRegions()};
  cluster.StartAll();
  HttpRequest request = cluster.PostRequest("forged");
  request.headers.push_back({kForwardHeader, "AAAA"});
  const CallResult result = cluster.SendAndWait(
      cluster.host(0).state().hosts.self().peer_address, request);
  cr_assert_eq(result.response.status, http_status::kForbidden);
  cr_assert_eq(cluster.RunsOf("forged"), 0);
}

// Guards against a cut that is taken for the crash of an upstream under one
// request, which would then be blocked at all hosts: the connection is lost and
// the port refuses, as at all other upstreams.
Test(cut_hosts, refusals_by_all_upstreams_are_no_crash_of_one) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1, 0};
  plan.upstreams_in_domain = 3;
  TestCluster cluster(plan);
  cluster.StartAll();
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  const HttpClientPtr client = SendToFirstHost(
      cluster, cluster.GetRequest("lost"), [](const CallResult&) {});
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 1; }));
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.Crash(); });
  const ReachMonitor& reach = cluster.host(0).state().reach;
  cr_assert(
      cluster.Await([&] { return reach.IsIsolated() && reach.probes() >= 3; }));
  cr_assert(cluster.host(0).state().crashes.IsEmpty());
  client->Cancel();
}

}  // namespace
}  // namespace pathcleat
