// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// How long an upstream that does not answer is waited for.

#include "raw_client.hpp"
#include "test_cluster.hpp"

namespace pathcleat {
namespace {

std::string GetText(const std::string& run_id) {
  return "GET /s/read/item HTTP/1.1\r\nHost: test.example\r\nX-Run-Id: " +
         run_id + "\r\n\r\n";
}

// A work that its upstream is at is given up for another upstream only: with
// nobody else to ask, the answer is waited for. Checked to fail (502) with the
// attempt ended by its own time-out.
Test(faults, slow_answer_is_waited_for_where_no_other_upstream_is) {
  TestClusterPlan plan;
  plan.upstreams_in_domain = 1;
  plan.timeout = Duration(60'000'000);
  TestCluster world(plan);
  world.StartAll();
  for (int i = 0; i < 40; ++i) {
    world.Get(0, "warm" + std::to_string(i));
  }
  world.upstream(0).HoldAnswers();
  RawClient client(world.loop(), world.address(), world.CallerPort(0));
  client.Send(GetText("held"));
  cr_assert(world.Await([&] { return world.InFlight() == 1; }));
  const Time sent = BootClock::now();
  constexpr Duration kBeyondPatience{1'500'000};
  cr_assert(
      world.Await([&] { return BootClock::now() - sent > kBeyondPatience; }));
  world.upstream(0).ReleaseAnswerOfRun("held");
  cr_assert(world.Await([&] { return client.HasReceived("end held"); }));
}

// An upstream that answers others is busy and not silent: what it has begun is
// not thrown away. Checked to fail, with two runs, with HasAnsweredSince
// taken out of Call.
Test(faults, busy_upstream_keeps_what_it_has_begun) {
  TestClusterPlan plan;
  plan.slots = 8;
  plan.timeout = Duration(60'000'000);
  TestCluster world(plan);
  world.StartAll();
  for (int i = 0; i < 40; ++i) {
    world.Get(0, "warm" + std::to_string(i));
  }
  world.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  RawClient client(world.loop(), world.address(), world.CallerPort(0));
  client.Send(GetText("held"));
  cr_assert(world.Await([&] { return world.InFlight() == 1; }));
  // Answers at both upstreams go on until patience would have ended twice.
  const Time sent = BootClock::now();
  constexpr Duration kBeyondPatience{1'500'000};
  for (int i = 0; BootClock::now() - sent < kBeyondPatience; ++i) {
    RawClient other(world.loop(), world.address(), world.CallerPort(0));
    const std::string id = "other" + std::to_string(i);
    other.Send(GetText(id));
    cr_assert(world.Await([&] { return world.RunsOf(id) > 0; }));
    world.ForEachUpstream(
        [&id](UpstreamStandIn& u) { u.ReleaseAnswerOfRun(id); });
    cr_assert(world.Await([&] { return other.HasReceived("end " + id); }));
  }
  cr_assert_eq(world.RunsOf("held"), 1);
  world.ForEachUpstream(
      [](UpstreamStandIn& u) { u.ReleaseAnswerOfRun("held"); });
  cr_assert(world.Await([&] { return client.HasReceived("end held"); }));
}

}  // namespace
}  // namespace pathcleat
