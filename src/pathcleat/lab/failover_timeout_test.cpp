// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// How long a host waits for an upstream that does not answer.

#include "raw_client.hpp"
#include "test_cluster.hpp"

namespace pathcleat {
namespace {

std::string GetText(const std::string& run_id) {
  return "GET /s/read/item HTTP/1.1\r\nHost: test.example\r\nX-Run-Id: " +
         run_id + "\r\n\r\n";
}

// A host gives up on a request that an upstream is running only if it can send
// the request to another upstream; otherwise it waits for the answer. Fails
// (502) if the attempt is ended by a timeout of its own.
Test(faults, host_waits_for_a_slow_answer_without_another_upstream) {
  TestClusterPlan plan;
  plan.upstreams_in_domain = 1;
  plan.timeout = Duration(60'000'000);
  TestCluster cluster(plan);
  cluster.StartAll();
  for (int i = 0; i < 40; ++i) {
    cluster.Get(0, "warm" + std::to_string(i));
  }
  cluster.upstream(0).HoldAnswers();
  RawClient client(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  client.Send(GetText("held"));
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 1; }));
  const Time sent = BootClock::now();
  constexpr Duration kBeyondFailoverTimeout{1'500'000};
  cr_assert(cluster.Await(
      [&] { return BootClock::now() - sent > kBeyondFailoverTimeout; }));
  cluster.upstream(0).ReleaseAnswerOfRun("held");
  cr_assert(cluster.Await([&] { return client.HasReceived("end held"); }));
}

// An upstream that answers other requests is busy and not silent, so a request
// that it is running is not retried elsewhere. Fails (two runs) without
// HasAnsweredSince in UpstreamAttempt::IsBusy.
Test(faults, busy_upstream_keeps_its_running_requests) {
  TestClusterPlan plan;
  plan.slots = 8;
  plan.timeout = Duration(60'000'000);
  TestCluster cluster(plan);
  cluster.StartAll();
  for (int i = 0; i < 40; ++i) {
    cluster.Get(0, "warm" + std::to_string(i));
  }
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  RawClient client(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  client.Send(GetText("held"));
  cr_assert(cluster.Await([&] { return cluster.InFlight() == 1; }));
  // Both upstreams go on answering until the failover timeout would have passed
  // twice.
  const Time sent = BootClock::now();
  constexpr Duration kBeyondFailoverTimeout{1'500'000};
  for (int i = 0; BootClock::now() - sent < kBeyondFailoverTimeout; ++i) {
    RawClient other(cluster.loop(), cluster.address(), cluster.CallerPort(0));
    const std::string id = "other" + std::to_string(i);
    other.Send(GetText(id));
    cr_assert(cluster.Await([&] { return cluster.RunsOf(id) > 0; }));
    cluster.ForEachUpstream(
        [&id](UpstreamStandIn& u) { u.ReleaseAnswerOfRun(id); });
    cr_assert(cluster.Await([&] { return other.HasReceived("end " + id); }));
  }
  cr_assert_eq(cluster.RunsOf("held"), 1);
  cluster.ForEachUpstream(
      [](UpstreamStandIn& u) { u.ReleaseAnswerOfRun("held"); });
  cr_assert(cluster.Await([&] { return client.HasReceived("end held"); }));
}

}  // namespace
}  // namespace pathcleat
