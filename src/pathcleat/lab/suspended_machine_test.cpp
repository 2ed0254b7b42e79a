// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The clock advances while timers are stopped, as on a suspended machine.

#include "raw_client.hpp"
#include "test_cluster.hpp"

namespace pathcleat {
namespace {

constexpr std::size_t kHosts = 4;

struct SuspensionFixture {
  explicit SuspensionFixture(Duration timeout) : cluster(MakePlan(timeout)) {
    cluster.StartAll();
  }
  static TestClusterPlan MakePlan(Duration timeout) {
    TestClusterPlan plan;
    plan.hosts_in_domain = {2, 2};
    plan.timeout = timeout;
    return plan;
  }
  TestCluster cluster;
};

// Sends a request and waits until an upstream runs it. The upstream holds back
// its answer.
void SendAndHoldAnswer(TestCluster& cluster, RawClient& caller) {
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.HoldAnswers(); });
  caller.Send(
      "POST /s/write/entry HTTP/1.1\r\nHost: test.example\r\n"
      "X-Run-Id: r\r\nContent-Length: 0\r\n\r\n");
  cr_assert(cluster.Await([&cluster] { return cluster.InFlight() == 1; }));
}

// Guards against a deadline timer that stops while the machine is suspended:
// after the machine resumes, callers would wait for the whole time that was
// left until their deadline when the machine was suspended.
Test(suspended_machine, requests_past_their_deadline_end_on_resume) {
  SuspensionFixture fixture(Duration(60'000'000));
  TestCluster& cluster = fixture.cluster;
  RawClient caller(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  SendAndHoldAnswer(cluster, caller);
  AdvanceBootClock(std::chrono::minutes(2));
  cr_assert(cluster.Await([&caller] { return caller.HasReceived("504"); }));
  cr_assert(cluster.HasEvent(0, EventCode::kHostStoodStill));
}

// Guards against an answer that arrived while the machine was suspended and is
// dropped when the machine resumes.
Test(suspended_machine, answer_that_arrived_meanwhile_is_delivered_on_resume) {
  SuspensionFixture fixture(Duration(60'000'000));
  TestCluster& cluster = fixture.cluster;
  RawClient caller(cluster.loop(), cluster.address(), cluster.CallerPort(0));
  SendAndHoldAnswer(cluster, caller);
  AdvanceBootClock(std::chrono::minutes(2));
  cluster.ForEachUpstream(
      [](UpstreamStandIn& u) { u.ReleaseAnswerOfRun("r"); });
  cr_assert(cluster.Await([&caller] { return caller.HasReceived("end r"); }));
}

// Guards against hosts that consider each other dead when the machine resumes,
// and against watches that were lost while the machine was suspended.
Test(suspended_machine, hosts_see_each_other_and_receive_changes_on_resume) {
  SuspensionFixture fixture(Duration(5'000'000));
  TestCluster& cluster = fixture.cluster;
  AdvanceBootClock(std::chrono::minutes(2));
  RoutingConfig new_config = cluster.config();
  new_config.version = 2;
  cluster.platform().PutConfig(new_config);
  cr_assert(cluster.Await([&cluster] {
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (cluster.host(i).state().routes.version() != 2 ||
          !cluster.HasEvent(i, EventCode::kHostStoodStill)) {
        return false;
      }
    }
    return cluster.AreAllReady();
  }));
  for (std::size_t i = 0; i < kHosts; ++i) {
    cr_assert_not(cluster.HasEvent(i, EventCode::kPeerSilent));
    cr_assert_not(cluster.HasEvent(i, EventCode::kPlatformDown));
  }
  cr_assert_eq(cluster.Get(0, "r").response.status, http_status::kOk);
}

}  // namespace
}  // namespace pathcleat
