// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Planned stop of a host, as its callers see it.

#include "raw_client.hpp"
#include "test_cluster.hpp"

namespace pathcleat {
namespace {

std::string GetText(const std::string& run_id,
                    const std::string& more_headers = "") {
  return "GET /s/read/item HTTP/1.1\r\nHost: test.example\r\nX-Run-Id: " +
         run_id + "\r\n" + more_headers + "\r\n";
}

// Promise: a planned stop interrupts no request in flight. Fails if
// ServerSession::Finish closes the connection at once.
Test(promise, planned_stop_completes_requests_in_flight) {
  TestClusterPlan plan;
  plan.timeout = Duration(2'500'000);
  plan.stop_grace = Duration(5'000'000);
  TestCluster cluster(plan);
  cluster.StartAll();
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  RawClient client(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  client.Send(GetText("held"));
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 1; }));
  bool stopped = false;
  cluster.host(0).Stop([&stopped] { stopped = true; });
  cr_assert_eq(cluster.QueryReadiness(0).response.status,
               http_status::kUnavailable);
  // Other hosts no longer list the host in /v1/locate, and the host still
  // serves new connections.
  cr_assert(cluster.Await([&] {
    return cluster.Locate(1, "").response.body.str().find(
               std::to_string(cluster.CallerPort(0))) == std::string::npos;
  }));
  RawClient late_client(cluster.loop(), cluster.address(),
                        cluster.CallerPort(0));
  late_client.Send(GetText("late"));
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 2; }));
  // The last answers are released only when the host refuses connections. Tries
  // one connection at a time: connect() to a full backlog would block this
  // thread, which also runs the host.
  constexpr std::chrono::milliseconds kProbeInterval{20};
  auto next_probe = std::chrono::steady_clock::now();
  cr_assert(cluster.Await([&] {
    if (std::chrono::steady_clock::now() < next_probe) {
      return false;
    }
    next_probe = std::chrono::steady_clock::now() + kProbeInterval;
    boost::asio::ip::tcp::socket probe(cluster.loop());
    boost::system::error_code refused;
    probe.connect({boost::asio::ip::make_address(cluster.address()),
                   cluster.CallerPort(0)},
                  refused);
    return bool(refused);
  }));
  cr_assert_not(stopped);
  cluster.ForEachUpstream([](UpstreamStandIn& u) {
    u.ReleaseAnswerOfRun("held");
    u.ReleaseAnswerOfRun("late");
  });
  cr_assert(cluster.Await([&] { return stopped; }));
  cr_assert(cluster.Await([&] {
    return client.HasReceived("end held") &&
           late_client.HasReceived("end late");
  }));
}

// Guards against a stopping host that cancels a request that its upstream is
// running, in order to retry it elsewhere. Fails (two runs) without the check
// of state_.leaving in RequestHandler::MayFailOver.
Test(promise, planned_stop_cancels_no_running_request) {
  TestClusterPlan plan;
  plan.timeout = Duration(60'000'000);
  plan.stop_grace = Duration(3'500'000);
  TestCluster cluster(plan);
  cluster.StartAll();
  for (int i = 0; i < 40; ++i) {
    cluster.Get(0, "warm" + std::to_string(i));
  }
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  RawClient client(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  client.Send(GetText("held"));
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 1; }));
  bool stopped = false;
  cluster.host(0).Stop([&stopped] { stopped = true; });
  cr_assert(cluster.Await([&] { return stopped; }));
  cr_assert_eq(cluster.RunsOf("held"), 1);
}

// One host and one upstream with one slot. A request sent before the stop keeps
// the slot to the end, so later requests wait in the upstream's queue.
TestClusterPlan BusyUpstreamPlan() {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1};
  plan.upstreams_in_domain = 1;
  plan.slots = 1;
  plan.timeout = Duration(60'000'000);
  plan.upstreams_enforce_deadlines = true;
  return plan;
}

void WarmUp(TestCluster& cluster) {
  cluster.StartAll();
  for (int i = 0; i < 40; ++i) {
    cluster.Get(0, "warm" + std::to_string(i));
  }
  cluster.upstream(0).HoldAnswers();
}

// Promise: a stopping host starts only requests that it can finish. A request
// that arrives after the stop began and is still queued at its upstream when
// the host must exit is answered in time as not run. Fails (504) without
// MayStart in RequestHandler::ChooseUpstream.
Test(promise, planned_stop_answers_requests_queued_at_an_upstream) {
  TestCluster cluster(BusyUpstreamPlan());
  WarmUp(cluster);
  RawClient held_client(cluster.loop(), cluster.address(),
                        cluster.CallerPort(0));
  held_client.Send(GetText("held"));
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 1; }));
  bool stopped = false;
  cluster.host(0).Stop([&stopped] { stopped = true; });
  RawClient late_client(cluster.loop(), cluster.address(),
                        cluster.CallerPort(0));
  late_client.Send(GetText("late"));
  cr_assert(cluster.Await([&] { return stopped; }));
  cr_assert(late_client.HasReceived("HTTP/1.1 503"));
  cr_assert(late_client.HasReceived("Pathcleat-Outcome: not-run"));
  cr_assert(late_client.HasReceived("Connection: close"));
  cr_assert_eq(cluster.RunsOf("late"), 0);
}

std::string PostText(const std::string& run_id, const std::string& key) {
  return "POST /s/write/entry HTTP/1.1\r\nHost: test.example\r\nX-Run-Id: " +
         run_id + "\r\nIdempotency-Key: " + key +
         "\r\nContent-Length: 1\r\n\r\nb";
}

// Promise: every request that a host has read is answered, whatever its
// upstream does. Fails (nothing received) without the call of OnHostShutdown in
// Gateway::WaitUntilIdle.
Test(promise, planned_stop_answers_what_its_upstream_never_does) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1};
  plan.timeout = Duration(60'000'000);
  // The upstreams answer nothing. With the default target latency they could
  // count as silent on a busy machine before the last request is sent, and the
  // stop could be too far advanced by then to start that request.
  plan.target_latency = Duration(2'000'000);
  plan.stop_grace = Duration(8'000'000);
  TestCluster cluster(plan);
  cluster.StartAll();
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  RawClient get(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  RawClient post(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  RawClient late_client(cluster.loop(), cluster.address(),
                        cluster.CallerPort(0));
  get.Send(GetText("get"));
  post.Send(PostText("post", "key"));
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 2; }));
  bool stopped = false;
  cluster.host(0).Stop([&stopped] { stopped = true; });
  late_client.Send(GetText("late"));
  cr_assert(cluster.Await([&] { return stopped; }));
  for (const RawClient* client : {&get, &post}) {
    cr_assert(client->HasReceived("HTTP/1.1 504"));
    cr_assert(client->HasReceived("Pathcleat-Outcome: unknown"));
  }
  for (const char* id : {"get", "post"}) {
    cr_assert_eq(cluster.RunsOf(id), 1);
  }
  cr_assert(late_client.HasReceived("HTTP/1.1 503"));
  cr_assert(late_client.HasReceived("Pathcleat-Outcome: not-run"));
  cr_assert_eq(cluster.RunsOf("late"), 0);
}

// Guards against requests that a stopping host passes on although they may
// outlast it, and ends with 504 while their upstream is at work: the expected
// time of the work is short, but single requests take longer. Fails (one run
// each) with MayStart comparing four times the expected time.
Test(promise, planned_stop_starts_only_requests_with_time_for_their_deadline) {
  TestClusterPlan plan;
  plan.timeout = Duration(4'000'000);
  plan.stop_grace = Duration(4'500'000);
  TestCluster cluster(plan);
  cluster.StartAll();
  for (int i = 0; i < 40; ++i) {
    cluster.Get(0, "warm" + std::to_string(i));
  }
  RawClient get(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  RawClient post(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  RawClient urgent(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  cluster.PollEventLoop();
  bool stopped = false;
  cluster.host(0).Stop([&stopped] { stopped = true; });
  urgent.Send(GetText("urgent", "Pathcleat-Deadline-Ms: 900\r\n"));
  cr_assert(cluster.Await([&] { return urgent.HasReceived("end urgent"); }));
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  get.Send(GetText("get"));
  post.Send(PostText("post", "key"));
  cr_assert(cluster.Await([&] { return stopped; }));
  for (const RawClient* client : {&get, &post}) {
    cr_assert(client->HasReceived("HTTP/1.1 503"));
    cr_assert(client->HasReceived("not run: host_stops"));
  }
  cr_assert_eq(cluster.RunsOf("get"), 0);
  cr_assert_eq(cluster.RunsOf("post"), 0);
}

// Promise: a stopping host refuses at once a request that it could not finish.
// The request reaches no upstream, and its key is not written to the store.
// Fails without MayStart in RequestHandler::ChooseUpstream, and without it in
// RequestHandler::ClaimKey (the key is claimed).
Test(promise, planned_stop_refuses_requests_that_it_could_not_finish) {
  TestClusterPlan plan;
  plan.timeout = Duration(60'000'000);
  plan.stop_grace = Duration(1'200'000);
  TestCluster cluster(plan);
  // Once the two hosts have received each other's heartbeats, they have made
  // all their own writes to the store.
  cluster.StartAll();
  const std::uint64_t writes = cluster.platform().writes();
  const std::string get_text = GetText("get");
  const std::string post_text = PostText("post", "key");
  // The host has read half of each request when the stop begins, because idle
  // connections are closed then.
  RawClient get(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  RawClient post(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  get.Send(get_text.substr(0, get_text.size() / 2));
  post.Send(post_text.substr(0, post_text.size() / 2));
  cluster.PollEventLoop();
  bool stopped = false;
  cluster.host(0).Stop([&stopped] { stopped = true; });
  get.Send(get_text.substr(get_text.size() / 2));
  post.Send(post_text.substr(post_text.size() / 2));
  cr_assert(cluster.Await([&] {
    return stopped ||
           (get.HasReceived("HTTP/1.1") && post.HasReceived("HTTP/1.1"));
  }));
  cr_assert_not(stopped);
  cr_assert(get.HasReceived("not run: host_stops"));
  cr_assert(post.HasReceived("not run: host_stops"));
  for (const RawClient* client : {&get, &post}) {
    cr_assert(client->HasReceived("HTTP/1.1 503"));
    cr_assert(client->HasReceived("Connection: close"));
    cr_assert(client->HasReceived("Retry-After: 0.010"));
  }
  cr_assert(cluster.Await([&] { return stopped; }));
  cr_assert_eq(cluster.TotalRuns(), 0);
  cr_assert_eq(cluster.platform().writes(), writes);
}

// The stored answer of a keyed request must outlive the host, so the process
// exits only when the store has confirmed it. Fails without
// idempotency_keys.pending_writes() in Gateway::WaitUntilIdle.
Test(promise, planned_stop_waits_until_the_answer_of_a_key_is_stored) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1};
  plan.timeout = Duration(60'000'000);
  // With this grace time the host accepts no connections from the beginning of
  // the stop.
  plan.stop_grace = Duration(1'500'000);
  TestCluster cluster(plan);
  cluster.StartAll();
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  RawClient client(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  client.Send(PostText("post", "key"));
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 1; }));
  platform::StandInFaults slow;
  slow.delay = std::chrono::milliseconds(200);
  cluster.platform().SetFaults(slow);
  bool stopped = false;
  cluster.host(0).Stop([&stopped] { stopped = true; });
  cluster.PollEventLoop();
  cluster.ForEachUpstream(
      [](UpstreamStandIn& u) { u.ReleaseAnswerOfRun("post"); });
  cr_assert(cluster.Await([&] { return client.HasReceived("end post"); }));
  client.Close();
  cr_assert(cluster.Await([&] { return stopped; }));
  cr_assert_eq(cluster.host(0).state().idempotency_keys.pending_writes(), 0);
}

// A stopping host closes a connection after its last answer. It never starts a
// request that is pipelined behind the last answered request.
Test(promise, planned_stop_runs_no_request_pipelined_behind_the_last_answer) {
  TestCluster cluster(BusyUpstreamPlan());
  WarmUp(cluster);
  RawClient client(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  client.Send(GetText("first"));
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 1; }));
  bool stopped = false;
  cluster.host(0).Stop([&stopped] { stopped = true; });
  client.Send(GetText("second"));
  cluster.PollEventLoop();
  cluster.upstream(0).ReleaseAnswerOfRun("first");
  cr_assert(cluster.Await([&] { return client.IsClosed(); }));
  cr_assert(client.HasReceived("end first"));
  cr_assert(client.HasReceived("Connection: close"));
  cr_assert_eq(cluster.RunsOf("second"), 0);
}

}  // namespace
}  // namespace pathcleat
