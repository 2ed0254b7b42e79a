// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Open connections fall silent for good, without a close or reset, while new
// connections work.

#include "raw_client.hpp"
#include "tcp_proxy.hpp"
#include "test_cluster.hpp"

namespace pathcleat {
namespace {

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// All hosts reach the store through one proxy.
struct StoreProxyFixture {
  TestCluster cluster;
  TcpProxy proxy{cluster.loop(), cluster.address(),
                 *ParseTcpEndpoint(cluster.store_address())};

  explicit StoreProxyFixture(const TestClusterPlan& plan) : cluster(plan) {
    cluster.SetStoreAddress(proxy.address());
    cluster.StartAll();
    cr_assert(cluster.Await([this] {
      return cluster.host(0).Versions().store_access == StoreAccess::kWatching;
    }));
  }

  std::uint64_t Calls(std::size_t host, StoreOutcome outcome) const {
    std::uint64_t calls = 0;
    for (const auto& [call, count] : cluster.StoreCallsOf(host).calls) {
      calls += call.second == outcome ? count : 0;
    }
    return calls;
  }
};

// The watches of all hosts fall silent at the same time. A new configuration is
// in force within the time of the keep-alive probes and of the random delay
// before reopening, no host reports the store as down, and no more connections
// are opened than were lost. Fails (after the 21.5 s of a watch) without
// keep_alive in HttpClient::OnConnected, and (store reported as down) without
// the call of StoreClient::SendAgain.
Test(silence, watches_of_the_store_are_opened_anew_in_time) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 2};
  StoreProxyFixture fixture(plan);
  TestCluster& cluster = fixture.cluster;
  const int lost_count = fixture.proxy.forwarding_count();
  const int opened_before = fixture.proxy.accepted_count();
  fixture.proxy.SilenceConnections(SilenceMode::kDropPackets);
  RoutingConfig new_config = cluster.config();
  new_config.version = 2;
  cluster.platform().PutConfig(new_config);
  const Time began = BootClock::now();
  cr_assert(cluster.Await([&] {
    for (std::size_t i = 0; i < 4; ++i) {
      if (cluster.host(i).state().routes.version() != 2) {
        return false;
      }
    }
    return true;
  }));
  // Far above the time needed, a little over 2 s, and far below the length of a
  // watch.
  constexpr Duration kMaxDelay{8'000'000};
  cr_assert_lt((BootClock::now() - began).count(), kMaxDelay.count());
  for (std::size_t i = 0; i < 4; ++i) {
    cr_assert_not(cluster.HasEvent(i, EventCode::kPlatformDown));
  }
  cr_assert_leq(fixture.proxy.accepted_count() - opened_before, lost_count);
  cr_assert_gt(cluster.StoreCallsOf(0).silent_connections, 0U);
  cr_assert_not(
      Contains(cluster.FetchMetrics(0).response.body.str(),
               "pathcleat_silent_connections_total{link=\"store\"} 0\n"));
}

// The claim of a key sent over a silent connection has an unknown outcome. The
// host reads the key over a new connection, and the request runs once. Of the
// kept connections, the host waits for the first one only. Fails (more than one
// wait) without StoreClient::CloseStaleConnections.
Test(silence, kept_connections_to_the_store_are_not_trusted_after_one_fails) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1};
  plan.slots = 8;
  plan.timeout = Duration(20'000'000);
  StoreProxyFixture fixture(plan);
  TestCluster& cluster = fixture.cluster;
  constexpr int kKept = 6;
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < kKept; ++i) {
    clients.push_back(std::make_unique<RawClient>(
        cluster.loop(), cluster.address(), cluster.CallerPort(0)));
    const std::string id = "k" + std::to_string(i);
    clients.back()->Send(
        "POST /s/write/entry HTTP/1.1\r\nHost: test.example\r\nX-Run-Id: " +
        id + "\r\nIdempotency-Key: " + id + "\r\nContent-Length: 1\r\n\r\nb");
  }
  // The store has answered all claims and all writes of outcomes.
  cr_assert(cluster.Await([&] {
    return cluster.TotalRuns() == kKept && cluster.InFlight() == 0 &&
           cluster.host(0).state().in_flight_count == 0 &&
           cluster.host(0).state().idempotency_keys.pending_writes() == 0;
  }));
  cr_assert_geq(fixture.proxy.forwarding_count(), kKept);
  fixture.proxy.SilenceConnections(SilenceMode::kStopForwarding);
  const std::uint64_t unknown_before = fixture.Calls(0, StoreOutcome::kUnknown);
  const CallResult post = cluster.Post(0, "after", "after");
  cr_assert_eq(post.response.status, http_status::kOk);
  cr_assert_eq(cluster.RunsOf("after"), 1);
  cr_assert_eq(fixture.Calls(0, StoreOutcome::kUnknown) - unknown_before, 1U,
               "%d",
               static_cast<int>(fixture.Calls(0, StoreOutcome::kUnknown) -
                                unknown_before));
}

// One host, which reaches each upstream through a separate proxy.
struct UpstreamProxyFixture {
  TestCluster cluster;
  std::vector<std::unique_ptr<TcpProxy>> proxies;
  std::vector<std::unique_ptr<RawClient>> callers;

  explicit UpstreamProxyFixture(int upstreams) : cluster(PlanFor(upstreams)) {
    for (std::size_t i = 0; i < cluster.upstream_count(); ++i) {
      UpstreamInfo info = cluster.upstream_info(i);
      proxies.push_back(std::make_unique<TcpProxy>(
          cluster.loop(), cluster.address(), *ParseTcpEndpoint(info.address)));
      info.address = proxies.back()->address();
      cluster.platform().PutUpstream(info);
    }
    cluster.StartAll();
  }

  static TestClusterPlan PlanFor(int upstreams) {
    TestClusterPlan plan;
    plan.hosts_in_domain = {1};
    plan.upstreams_in_domain = upstreams;
    plan.slots = 8;
    plan.timeout = Duration(20'000'000);
    return plan;
  }

  RawClient& AddCaller(const std::string& text) {
    callers.push_back(std::make_unique<RawClient>(
        cluster.loop(), cluster.address(), cluster.CallerPort(0)));
    callers.back()->Send(text);
    return *callers.back();
  }

  static std::string GetText(const std::string& id) {
    return "GET /s/read/item HTTP/1.1\r\nHost: test.example\r\nX-Run-Id: " +
           id + "\r\n\r\n";
  }

  static std::string PostText(const std::string& id) {
    return "POST /s/write/entry HTTP/1.1\r\nHost: test.example\r\nX-Run-Id: " +
           id + "\r\nContent-Length: 1\r\n\r\nb";
  }

  // Leaves this number of idle connections open, over all upstreams.
  void KeepConnections(int connections) {
    cluster.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
    for (int i = 0; i < connections; ++i) {
      AddCaller(PostText("keep" + std::to_string(i)));
    }
    cr_assert(cluster.Await([&] { return cluster.InFlight() == connections; }));
    for (int i = 0; i < connections; ++i) {
      const std::string id = "keep" + std::to_string(i);
      cluster.ForEachUpstream(
          [&id](UpstreamStandIn& u) { u.ReleaseAnswerOfRun(id); });
      cr_assert(cluster.Await(
          [&] { return callers.at(i)->HasReceived("end " + id); }));
    }
    cluster.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(false); });
  }

  void SilenceAllConnections() {
    for (const auto& proxy : proxies) {
      proxy->SilenceConnections(SilenceMode::kDropPackets);
    }
  }

  int OpenedCount() const {
    int opened_count = 0;
    for (const auto& proxy : proxies) {
      opened_count += proxy->accepted_count();
    }
    return opened_count;
  }

  int RetryCount() {
    int retry_count = 0;
    for (const Event& event : cluster.host(0).state().events.Snapshot()) {
      retry_count += event.code == EventCode::kRequestRetried ? 1 : 0;
    }
    return retry_count;
  }
};

// All kept connections to all upstreams fall silent at the same time. At most
// one request per upstream meets a silent connection, repeatable requests are
// answered over new connections, and these are opened on demand, not in
// advance. Fails if DetectSilence returns false.
Test(silence, silent_connections_to_upstreams_are_replaced_by_new_ones) {
  constexpr int kKept = 16;  // all slots of both upstreams
  constexpr int kAfter = 12;
  UpstreamProxyFixture fixture(2);
  TestCluster& cluster = fixture.cluster;
  fixture.KeepConnections(kKept);
  const int opened_before = fixture.OpenedCount();
  fixture.SilenceAllConnections();
  for (int i = 0; i < kAfter; ++i) {
    const std::string id = "after" + std::to_string(i);
    cr_assert_eq(cluster.Get(0, id).response.status, http_status::kOk, "%s",
                 id.c_str());
    cr_assert_eq(cluster.RunsOf(id), 1);
  }
  cr_assert_leq(fixture.RetryCount(), 2);
  cr_assert_leq(fixture.OpenedCount() - opened_before, kAfter);
  cr_assert_not(
      Contains(cluster.FetchMetrics(0).response.body.str(),
               "pathcleat_silent_connections_total{link=\"upstream\"} 0\n"));
}

// An upstream that answers other requests over new connections is alive, but a
// request sent over a silent connection will never be answered. Fails (502
// after the time limit of TCP) if DetectSilence returns false.
Test(silence, request_sent_into_silence_is_not_taken_for_a_busy_upstream) {
  UpstreamProxyFixture fixture(1);
  TestCluster& cluster = fixture.cluster;
  fixture.KeepConnections(1);
  fixture.SilenceAllConnections();
  RawClient& caller = fixture.AddCaller(UpstreamProxyFixture::GetText("lost"));
  cr_assert(cluster.Await(
      [&] { return cluster.host(0).state().in_flight_count == 1; }));
  for (int i = 0; !caller.HasReceived("end lost") && !caller.HasReceived("502");
       ++i) {
    cr_assert_eq(cluster.Get(0, "other" + std::to_string(i)).response.status,
                 http_status::kOk);
  }
  cr_assert(caller.HasReceived("end lost"));
  cr_assert_eq(cluster.RunsOf("lost"), 1);
}

// A request that may not be repeated, sent over a silent connection, is
// answered as unknown, is never sent again, and delays no other request. Fails
// (503 for the other request) if DetectSilence returns false.
Test(silence, submission_sent_into_silence_is_unknown_and_delays_no_other) {
  UpstreamProxyFixture fixture(1);
  TestCluster& cluster = fixture.cluster;
  fixture.KeepConnections(1);
  fixture.SilenceAllConnections();
  RawClient& caller = fixture.AddCaller(UpstreamProxyFixture::PostText("lost"));
  const Time sent = BootClock::now();
  // Longer than the time after which an upstream that answers nothing counts as
  // silent.
  constexpr Duration kBeyondFailoverTimeout{1'500'000};
  cr_assert(cluster.Await(
      [&] { return BootClock::now() - sent > kBeyondFailoverTimeout; }));
  cr_assert_eq(cluster.Get(0, "other").response.status, http_status::kOk);
  cr_assert(cluster.Await([&] { return caller.HasReceived("HTTP/1.1"); }));
  cr_assert(caller.HasReceived("HTTP/1.1 502"));
  cr_assert(caller.HasReceived("unknown"));
  cr_assert_eq(cluster.RunsOf("lost"), 0);
}

}  // namespace
}  // namespace pathcleat
