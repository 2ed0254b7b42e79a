// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The clock leaps while timers stand still, as on a machine that was suspended.

#include "raw_client.hpp"
#include "test_cluster.hpp"

namespace pathcleat {
namespace {

constexpr std::size_t kHosts = 4;

struct SuspendedWorld {
  explicit SuspendedWorld(Duration timeout) : world(PlanOf(timeout)) {
    world.StartAll();
  }
  static TestClusterPlan PlanOf(Duration timeout) {
    TestClusterPlan plan;
    plan.hosts_in_domain = {2, 2};
    plan.timeout = timeout;
    return plan;
  }
  TestCluster world;
};

// Sends a request and waits until an upstream has it, which keeps its answer.
void SendHeld(TestCluster& world, RawClient& caller) {
  world.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  caller.Send(
      "POST /s/write/entry HTTP/1.1\r\nHost: test.example\r\n"
      "X-Run-Id: r\r\nContent-Length: 0\r\n\r\n");
  cr_assert(world.Await([&world] { return world.InFlight() == 1; }));
}

// Guards against callers that wait for their answer for as long again as their
// deadline was away when the machine was suspended.
Test(suspended_machine, requests_past_their_deadline_end_on_waking) {
  SuspendedWorld suspended(Duration(60'000'000));
  TestCluster& world = suspended.world;
  RawClient caller(world.loop(), world.address(), world.CallerPort(0));
  SendHeld(world, caller);
  AdvanceBootClock(std::chrono::minutes(2));
  cr_assert(world.Await([&caller] { return caller.HasReceived("504"); }));
  cr_assert(world.HasEvent(0, EventCode::kHostStoodStill));
}

// Guards against an answer that came while the machine was suspended and is
// thrown away on waking.
Test(suspended_machine, answer_that_is_there_on_waking_is_delivered) {
  SuspendedWorld suspended(Duration(60'000'000));
  TestCluster& world = suspended.world;
  RawClient caller(world.loop(), world.address(), world.CallerPort(0));
  SendHeld(world, caller);
  AdvanceBootClock(std::chrono::minutes(2));
  world.ForEachUpstream([](UpstreamStandIn& u) { u.ReleaseAnswerOfRun("r"); });
  cr_assert(world.Await([&caller] { return caller.HasReceived("end r"); }));
}

// Guards against hosts that take each other for dead on waking, and against
// watches that were lost meanwhile.
Test(suspended_machine, hosts_know_each_other_and_hear_of_changes_on_waking) {
  SuspendedWorld suspended(Duration(5'000'000));
  TestCluster& world = suspended.world;
  AdvanceBootClock(std::chrono::minutes(2));
  RoutingConfig newer = world.config();
  newer.version = 2;
  world.platform().PutConfig(newer);
  cr_assert(world.Await([&world] {
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (world.host(i).state().routes.version() != 2 ||
          !world.HasEvent(i, EventCode::kHostStoodStill)) {
        return false;
      }
    }
    return world.AreAllReady();
  }));
  for (std::size_t i = 0; i < kHosts; ++i) {
    cr_assert_not(world.HasEvent(i, EventCode::kPeerSilent));
    cr_assert_not(world.HasEvent(i, EventCode::kPlatformDown));
  }
  cr_assert_eq(world.Get(0, "r").response.status, http_status::kOk);
}

}  // namespace
}  // namespace pathcleat
