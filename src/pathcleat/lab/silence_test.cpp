// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// What must hold when open connections fall silent for good while new ones
// work.

#include "raw_client.hpp"
#include "tcp_proxy.hpp"
#include "test_cluster.hpp"

namespace pathcleat {
namespace {

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// All hosts reach the store by one way.
struct StoreWorld {
  TestCluster world;
  TcpProxy way{world.loop(), world.address(),
               *ParseTcpEndpoint(world.store_address())};

  explicit StoreWorld(const TestClusterPlan& plan) : world(plan) {
    world.SetStoreAddress(way.address());
    world.StartAll();
    cr_assert(world.Await([this] {
      return world.host(0).Versions().store_access == StoreAccess::kWatching;
    }));
  }

  std::uint64_t Calls(std::size_t host, StoreOutcome outcome) const {
    std::uint64_t calls = 0;
    for (const auto& [call, count] : world.StoreCallsOf(host).calls) {
      calls += call.second == outcome ? count : 0;
    }
    return calls;
  }
};

// The watches of all hosts fall silent at one moment. A new configuration is
// in force within the time that probes and the spread take, no host says that
// the store is down, and no more connections are opened than were lost.
// Checked to fail (after the watch's 21.5 s) with keep_alive taken out of
// HttpClient::OnConnected, and (the store is said to be down) with SendAgain
// never called.
Test(silence, watches_of_the_store_are_opened_anew_in_time) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 2};
  StoreWorld silent(plan);
  TestCluster& world = silent.world;
  const int lost = silent.way.forwarding_count();
  const int before = silent.way.accepted_count();
  silent.way.SilenceConnections(SilenceMode::kDropPackets);
  RoutingConfig newer = world.config();
  newer.version = 2;
  world.platform().PutConfig(newer);
  const Time began = BootClock::now();
  cr_assert(world.Await([&] {
    for (std::size_t i = 0; i < 4; ++i) {
      if (world.host(i).state().routes.version() != 2) {
        return false;
      }
    }
    return true;
  }));
  // Far beyond the two seconds and a bit that it takes, far below a watch.
  constexpr Duration kFarBelowWatch{8'000'000};
  cr_assert_lt((BootClock::now() - began).count(), kFarBelowWatch.count());
  for (std::size_t i = 0; i < 4; ++i) {
    cr_assert_not(world.HasEvent(i, EventCode::kPlatformDown));
  }
  cr_assert_leq(silent.way.accepted_count() - before, lost);
  cr_assert_gt(world.StoreCallsOf(0).silent_connections, 0U);
  cr_assert_not(Has(world.FetchMetrics(0).response.body,
                    "pathcleat_silent_connections_total{link=\"store\"} 0\n"));
}

// A claim of a key that was sent into silence is unknown, read back over a
// connection opened since, and its request runs once. Of the connections kept
// only the first is waited for. Checked to fail (more than one wait) with
// DropUnheard emptied.
Test(silence, kept_connections_to_the_store_are_not_trusted_after_one_fails) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1};
  plan.slots = 8;
  plan.timeout = Duration(20'000'000);
  StoreWorld silent(plan);
  TestCluster& world = silent.world;
  constexpr int kKept = 6;
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < kKept; ++i) {
    clients.push_back(std::make_unique<RawClient>(world.loop(), world.address(),
                                                  world.CallerPort(0)));
    const std::string id = "k" + std::to_string(i);
    clients.back()->Send(
        "POST /s/write/entry HTTP/1.1\r\nHost: test.example\r\nX-Run-Id: " +
        id + "\r\nIdempotency-Key: " + id + "\r\nContent-Length: 1\r\n\r\nb");
  }
  // Claims and settlements are answered: nothing is under way.
  cr_assert(world.Await([&] {
    return world.TotalRuns() == kKept && world.InFlight() == 0 &&
           world.host(0).state().in_flight_count == 0 &&
           world.host(0).state().idempotency_keys.pending_writes() == 0;
  }));
  cr_assert_geq(silent.way.forwarding_count(), kKept);
  silent.way.SilenceConnections(SilenceMode::kStopForwarding);
  const std::uint64_t before = silent.Calls(0, StoreOutcome::kUnknown);
  const CallResult post = world.Post(0, "after", "after");
  cr_assert_eq(post.response.status, http_status::kOk);
  cr_assert_eq(world.RunsOf("after"), 1);
  cr_assert_eq(
      silent.Calls(0, StoreOutcome::kUnknown) - before, 1U, "%d",
      static_cast<int>(silent.Calls(0, StoreOutcome::kUnknown) - before));
}

// One host, which reaches each upstream by a way of its own.
struct UpstreamWorld {
  TestCluster world;
  std::vector<std::unique_ptr<TcpProxy>> ways;
  std::vector<std::unique_ptr<RawClient>> callers;

  explicit UpstreamWorld(int upstreams) : world(PlanFor(upstreams)) {
    for (std::size_t i = 0; i < world.upstream_count(); ++i) {
      UpstreamInfo info = world.upstream_info(i);
      ways.push_back(std::make_unique<TcpProxy>(
          world.loop(), world.address(), *ParseTcpEndpoint(info.address)));
      info.address = ways.back()->address();
      world.platform().PutUpstream(info);
    }
    world.StartAll();
  }

  static TestClusterPlan PlanFor(int upstreams) {
    TestClusterPlan plan;
    plan.hosts_in_domain = {1};
    plan.upstreams_in_domain = upstreams;
    plan.slots = 8;
    plan.timeout = Duration(20'000'000);
    return plan;
  }

  RawClient& Caller(const std::string& text) {
    callers.push_back(std::make_unique<RawClient>(world.loop(), world.address(),
                                                  world.CallerPort(0)));
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

  // Leaves so many connections kept, over all upstreams.
  void Keep(int connections) {
    world.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
    for (int i = 0; i < connections; ++i) {
      Caller(PostText("keep" + std::to_string(i)));
    }
    cr_assert(world.Await([&] { return world.InFlight() == connections; }));
    for (int i = 0; i < connections; ++i) {
      const std::string id = "keep" + std::to_string(i);
      world.ForEachUpstream(
          [&id](UpstreamStandIn& u) { u.ReleaseAnswerOfRun(id); });
      cr_assert(
          world.Await([&] { return callers.at(i)->HasReceived("end " + id); }));
    }
    world.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(false); });
  }

  void SilenceAll() {
    for (const auto& way : ways) {
      way->SilenceConnections(SilenceMode::kDropPackets);
    }
  }

  int Opened() const {
    int opened = 0;
    for (const auto& way : ways) {
      opened += way->accepted_count();
    }
    return opened;
  }

  int Retried() {
    int retried = 0;
    for (const Event& event : world.host(0).state().events.Snapshot()) {
      retried += event.code == EventCode::kRequestRetried ? 1 : 0;
    }
    return retried;
  }
};

// All kept connections to all upstreams fall silent at one moment. Each
// upstream's is met once at most, what may be repeated is answered over new
// ones, and these are opened as requests come and not in advance. Checked to
// fail with DetectSilence returning false.
Test(silence, kept_connections_to_upstreams_are_left_for_new_ones) {
  constexpr int kKept = 16;  // all slots of both
  constexpr int kAfter = 12;
  UpstreamWorld silent(2);
  TestCluster& world = silent.world;
  silent.Keep(kKept);
  const int before = silent.Opened();
  silent.SilenceAll();
  for (int i = 0; i < kAfter; ++i) {
    const std::string id = "after" + std::to_string(i);
    cr_assert_eq(world.Get(0, id).response.status, http_status::kOk, "%s",
                 id.c_str());
    cr_assert_eq(world.RunsOf(id), 1);
  }
  cr_assert_leq(silent.Retried(), 2);
  cr_assert_leq(silent.Opened() - before, kAfter);
  cr_assert_not(
      Has(world.FetchMetrics(0).response.body,
          "pathcleat_silent_connections_total{link=\"upstream\"} 0\n"));
}

// An upstream that answers others over new connections is alive, but what went
// into silence will never be answered. Checked to fail (502 after TCP's limit)
// with DetectSilence returning false.
Test(silence, request_sent_into_silence_is_not_taken_for_a_busy_upstream) {
  UpstreamWorld silent(1);
  TestCluster& world = silent.world;
  silent.Keep(1);
  silent.SilenceAll();
  RawClient& caller = silent.Caller(UpstreamWorld::GetText("lost"));
  cr_assert(
      world.Await([&] { return world.host(0).state().in_flight_count == 1; }));
  for (int i = 0; !caller.HasReceived("end lost") && !caller.HasReceived("502");
       ++i) {
    cr_assert_eq(world.Get(0, "other" + std::to_string(i)).response.status,
                 http_status::kOk);
  }
  cr_assert(caller.HasReceived("end lost"));
  cr_assert_eq(world.RunsOf("lost"), 1);
}

// What may not be repeated is unknown and never sent again, and holds nothing
// else back. Checked to fail (503 for the others) with DetectSilence returning
// false.
Test(silence, submission_sent_into_silence_is_unknown_and_holds_nothing_back) {
  UpstreamWorld silent(1);
  TestCluster& world = silent.world;
  silent.Keep(1);
  silent.SilenceAll();
  RawClient& caller = silent.Caller(UpstreamWorld::PostText("lost"));
  const Time sent = BootClock::now();
  // Later than an upstream that answers nothing counts as silent itself.
  constexpr Duration kBeyondPatience{1'500'000};
  cr_assert(
      world.Await([&] { return BootClock::now() - sent > kBeyondPatience; }));
  cr_assert_eq(world.Get(0, "other").response.status, http_status::kOk);
  cr_assert(world.Await([&] { return caller.HasReceived("HTTP/1.1"); }));
  cr_assert(caller.HasReceived("HTTP/1.1 502"));
  cr_assert(caller.HasReceived("unknown"));
  cr_assert_eq(world.RunsOf("lost"), 0);
}

}  // namespace
}  // namespace pathcleat
