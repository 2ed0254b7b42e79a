// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Exceptions that end the one request, message or step that threw them.

#include <functional>
#include <memory>
#include <random>
#include <stdexcept>

#include "test_cluster.hpp"

namespace pathcleat {
namespace {

std::uint64_t FailuresAt(TestCluster& cluster,
                         std::size_t host,
                         EntryPoint where) {
  return cluster.host(host).state().failures.counts().at(
      static_cast<std::size_t>(where));
}

constexpr Duration kWait = std::chrono::seconds(60);

void Throw() {
  throw std::runtime_error("injected");
}

TestClusterPlan OneHostPlan() {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1};
  return plan;
}

// Guards against a request whose step throws before it was sent: the exception
// left the event loop. Its caller is told that it was not run. Fails without
// RunStep in RequestHandler::Start, as the boundary behind it counts it.
Test(error_boundary, request_that_fails_before_sending_is_not_run) {
  TestCluster cluster(OneHostPlan());
  cluster.StartAll();
  cluster.store(0).ThrowIf([] { return true; });
  const CallResult failed = cluster.Post(0, "failed", "key-1");
  cr_assert_eq(failed.response.status, http_status::kUnavailable);
  cr_assert_str_eq(TestCluster::OutcomeHeader(failed).c_str(), "not-run");
  cr_assert_eq(cluster.RunsOf("failed"), 0);
  cluster.store(0).ThrowIf(nullptr);
  cr_assert_eq(cluster.Post(0, "next", "key-2").response.status,
               http_status::kOk);
  cr_assert_eq(cluster.host(0).state().in_flight_count, 0);
  cr_assert_eq(FailuresAt(cluster, 0, EntryPoint::kRequestStep), 1U);
  cr_assert(cluster.HasEvent(0, EventCode::kHandlerFailed));
}

// Guards against an answer that the caller does not get because this host could
// not use what the upstream stated in it: the exception left the event loop.
// Fails without the boundaries in UpstreamAttempt.
Test(error_boundary, caller_gets_the_answer_that_the_host_cannot_learn_from) {
  TestCluster cluster(OneHostPlan());
  cluster.StartAll();
  cluster.host(0).state().upstream_statements.SetOnUpdate(Throw);
  cluster.ForEachUpstream(
      [](UpstreamStandIn& upstream) { upstream.SetLeavingHeader("1"); });
  const CallResult result = cluster.Get(0, "r");
  cr_assert_eq(result.response.status, http_status::kOk);
  cr_assert_geq(FailuresAt(cluster, 0, EntryPoint::kUpstreamAnswer), 1U);
  cr_assert_eq(cluster.host(0).state().in_flight_count, 0);
}

// Guards against a metrics page that ends the process. Fails without
// ContainFailures.
Test(error_boundary, metrics_page_that_fails_costs_itself_alone) {
  TestCluster cluster(OneHostPlan());
  cluster.StartAll();
  ProcessStats stats;
  stats.dropped_log_lines = []() -> LogCounts {
    throw std::runtime_error("injected");
  };
  cluster.host(0).SetProcessStats(stats);
  cr_assert_eq(cluster.FetchMetrics(0).response.status,
               http_status::kInternalError);
  cluster.host(0).SetProcessStats({});
  const CallResult page = cluster.FetchMetrics(0);
  cr_assert_eq(page.response.status, http_status::kOk);
  cr_assert_neq(page.response.body.str().find(
                    "pathcleat_handler_failures_total{where=\"request\"} 1"),
                std::string::npos);
}

// A request in flight that is overdue and throws when it is to end.
class ThrowingRequest : public InFlightRequest {
 public:
  void OnHostShutdown() override { Throw(); }
  Time deadline() const override { return {}; }
  void OnDeadline() override { Throw(); }
  bool IsUpstreamSilent(Time) const override { return false; }
  void OnHostIsolated() override { Throw(); }
};

// Guards against periodic work that ends for good, and against a process that
// ends, with the first step that throws. Fails without the boundaries of
// RunTickSteps.
Test(error_boundary, periodic_work_goes_on_after_a_step_that_fails) {
  TestCluster cluster(OneHostPlan());
  cluster.StartAll();
  ThrowingRequest request;
  cluster.host(0).state().in_flight_requests.Add(request);
  cr_assert(cluster.Await(
      [&] { return FailuresAt(cluster, 0, EntryPoint::kTick) >= 3; }));
  cr_assert_eq(cluster.Get(0, "next").response.status, http_status::kOk);
}

// Guards against a datagram whose handling throws and that ends the process, or
// after which no other one is received. Fails without the boundary around
// OnDatagram (the exception leaves the event loop) and without
// FinishScanIfThrown (the host reads no commands any more).
Test(error_boundary, datagram_that_fails_is_dropped) {
  TestCluster cluster;
  cluster.StartAll();
  cluster.store(1).ThrowIf([] { return true; });
  cluster.RunCommand(0, "drain upstream upstream-0-0");
  cr_assert(cluster.Await(
      [&] { return FailuresAt(cluster, 1, EntryPoint::kDatagram) > 0; }));
  cluster.store(1).ThrowIf(nullptr);
  const std::uint64_t newest = cluster.host(0).Versions().commands;
  cr_assert(cluster.Await(
      [&] { return cluster.host(1).Versions().commands >= newest; }));
}

// Guards against a planned stop that never ends because a step of it throws:
// here the one that ends the requests left at the end of the grace. Fails
// without RunStopStep there.
Test(error_boundary, stop_ends_after_a_step_that_fails) {
  TestCluster cluster(OneHostPlan());
  cluster.StartAll();
  ThrowingRequest request;
  cluster.host(0).state().in_flight_requests.Add(request);
  ++cluster.host(0).state().in_flight_count;
  bool stopped = false;
  cluster.host(0).Stop([&stopped] { stopped = true; });
  cr_assert(cluster.Await([&stopped] { return stopped; }));
  cr_assert_geq(FailuresAt(cluster, 0, EntryPoint::kStop), 1U);
}

// Lets a tenth of the store's calls, of its callbacks and of the updates of
// upstreams' statements throw at all hosts.
class RandomFailures {
 public:
  RandomFailures(TestCluster& cluster, std::size_t hosts, unsigned seed)
      : cluster_(cluster), hosts_(hosts), random_(seed) {
    for (std::size_t i = 0; i < hosts; ++i) {
      cluster.store(i).ThrowIf([this] { return FailsNow(); });
      cluster.store(i).ThrowInCallbackIf([this] { return FailsNow(); });
      cluster.host(i).state().upstream_statements.SetOnUpdate([this] {
        if (FailsNow()) {
          Throw();
        }
      });
    }
  }
  ~RandomFailures() { End(); }
  RandomFailures(const RandomFailures&) = delete;
  RandomFailures& operator=(const RandomFailures&) = delete;

  void End() {
    for (std::size_t i = 0; i < hosts_; ++i) {
      cluster_.store(i).ThrowIf(nullptr);
      cluster_.store(i).ThrowInCallbackIf(nullptr);
      cluster_.host(i).state().upstream_statements.SetOnUpdate([] {});
    }
  }
  int thrown_count() const { return thrown_count_; }

 private:
  bool FailsNow() {
    const bool fails = std::bernoulli_distribution(0.1)(random_);
    thrown_count_ += fails ? 1 : 0;
    return fails;
  }

  TestCluster& cluster_;
  std::size_t hosts_;
  std::mt19937 random_;
  int thrown_count_ = 0;
};

// Runs the event loop until a condition holds, behind the last boundary:
// callbacks of the store throw outside of any other.
void AwaitBehindLastBoundary(TestCluster& cluster,
                             const std::function<bool()>& condition) {
  bool held = false;
  while (!cluster.host(0).state().failures.Run(
      EntryPoint::kEventLoop, "", [&] { held = cluster.Await(condition); })) {
  }
  cr_assert(held);
}

// Sends requests one after the other and counts those that were answered.
int SendRequests(TestCluster& cluster, int count) {
  int answered = 0;
  for (int i = 0; i < count; ++i) {
    const std::string id = std::to_string(i);
    const auto client = std::make_shared<HttpClient>(
        cluster.loop(),
        *ParseTcpEndpoint(cluster.address() + ":" +
                          std::to_string(cluster.CallerPort(i % 2))),
        HttpLimits());
    bool ended = false;
    client->Send(i % 4 < 2 ? cluster.GetRequest(id)
                           : cluster.PostRequest(id, "key-" + id),
                 {kWait, kWait}, [&](const CallResult& result) {
                   ended = true;
                   answered += result.outcome == CallOutcome::kAnswered ? 1 : 0;
                 });
    AwaitBehindLastBoundary(cluster, [&ended] { return ended; });
    client->Cancel();
  }
  return answered;
}

// Guards against counts and reservations that an exception leaves behind, and
// against callers that get no answer: a host whose requests in flight do not
// return to zero never stops in time. Fails without the end of a request in
// ~RequestHandler (a caller whose callback was lost waits until it gives up).
Test(error_boundary, hosts_serve_after_many_exceptions) {
  constexpr int kRequests = 60;
  constexpr std::size_t kHosts = 2;
  constexpr int kCases = 5;
  cr_assert(Holds(
      "hosts serve after exceptions",
      [](unsigned seed) {
        TestCluster cluster;
        cluster.StartAll();
        RandomFailures failures(cluster, kHosts, seed);
        cluster.upstream(0).SetLeavingHeader("1");
        cr_assert_eq(SendRequests(cluster, kRequests), kRequests);
        cr_assert_gt(failures.thrown_count(), 0);
        failures.End();
        for (std::size_t i = 0; i < kHosts; ++i) {
          AwaitBehindLastBoundary(cluster, [&cluster, i] {
            return cluster.host(i).state().in_flight_count == 0;
          });
          cr_assert_eq(cluster.Get(i, "after").response.status,
                       http_status::kOk);
        }
      },
      kCases));
}

}  // namespace
}  // namespace pathcleat
