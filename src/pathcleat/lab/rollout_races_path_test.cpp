// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Version rollouts that meet another order, a third version, a drain or a
// restart, over the whole path.

#include "test_cluster.hpp"

#include <nlohmann/json.hpp>

namespace pathcleat {
namespace {

constexpr std::size_t kHosts = 2;
constexpr Duration kRolloutTimeout{14'000'000};
constexpr int kRequests = 60;
// Longer than the time for which the upstreams of a new version get nothing.
constexpr Duration kAfterNewVersionDelay{2'000'000};

// A cluster of six upstreams, two each of "v1", "v2" and "v3".
class RolloutRacesFixture {
 public:
  RolloutRacesFixture() : cluster(MakePlan()) {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      if (VersionOf(i) != "v3") {
        PutUpstream(i);
      } else {
        cluster.platform().RemoveUpstream(cluster.upstream_info(i).id);
      }
    }
    Order("v2");
    cluster.StartAll();
  }

  void Order(const std::string& version) {
    cluster.platform().PutRollout({"s", version, kRolloutTimeout, 0});
  }
  void StartThirdVersion() {
    for (std::size_t i = 4; i < kUpstreams; ++i) {
      PutUpstream(i);
    }
  }
  void DrainFirstVersion() {
    for (std::size_t i = 0; i < 2; ++i) {
      cluster.RunCommand(0, "drain upstream " + cluster.upstream_info(i).id);
    }
  }
  std::string Status(const std::string& field) {
    const auto row = cluster.platform().ValueOf("status", "rollout/s");
    return row ? nlohmann::json::parse(*row).value(field, "") : "";
  }
  int RunsOf(const std::string& version) {
    int runs = 0;
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      runs += VersionOf(i) == version ? cluster.upstream(i).ledger().runs : 0;
    }
    return runs;
  }
  void Send(int count) {
    for (int i = 0; i < count; ++i) {
      cluster.Get(static_cast<std::size_t>(i) % kHosts,
                  "r" + std::to_string(next_request_++));
    }
  }
  void SendUntil(const std::function<bool()>& condition) {
    const Time end = BootClock::now() + kRolloutTimeout * 2;
    while (!condition() && BootClock::now() < end) {
      Send(1);
    }
    cr_assert(condition());
  }
  void SendUntilState(const std::string& state) {
    SendUntil([&] { return Status("State") == state; });
  }
  void SendFor(Duration duration) {
    const Time end = BootClock::now() + duration;
    while (BootClock::now() < end) {
      Send(1);
    }
  }

  TestCluster cluster;

 private:
  static constexpr std::size_t kUpstreams = 6;

  static TestClusterPlan MakePlan() {
    TestClusterPlan plan;
    plan.hosts_in_domain = {kHosts};
    plan.upstreams_in_domain = static_cast<int>(kUpstreams);
    return plan;
  }
  static std::string VersionOf(std::size_t i) {
    return "v" + std::to_string(1 + i / 2);
  }
  void PutUpstream(std::size_t i) {
    UpstreamInfo info = cluster.upstream_info(i);
    info.version = VersionOf(i);
    cluster.platform().PutUpstream(info);
  }

  int next_request_ = 0;
};

// Guards against requests without a limit to the version of an order that was
// replaced, and against a status that names it.
// Fails if UpdateServingRule only excludes the versions of the rollout.
Test(promise, replaced_order_leaves_its_version_without_runs) {
  RolloutRacesFixture races;
  races.SendUntil([&] { return races.RunsOf("v2") > 0; });
  races.StartThirdVersion();
  races.Order("v3");
  races.SendUntil([&] { return races.Status("TargetVersion") == "v3"; });
  const int runs = races.RunsOf("v2");
  races.SendUntilState("completed");
  cr_assert_eq(races.RunsOf("v2"), runs);
  const int old_runs = races.RunsOf("v1");
  races.Send(kRequests);
  cr_assert_eq(races.RunsOf("v1"), old_runs);
  cr_assert_eq(races.RunsOf("v2"), runs);
  cr_assert_str_eq(races.Status("TargetVersion").c_str(), "v3");
}

// Guards against requests to a version that is started during a rollout and
// that no order names. New versions get nothing for 1 s in any case.
// Fails if UpdateServingRule only excludes the versions of the rollout.
Test(promise, third_version_gets_no_runs) {
  RolloutRacesFixture races;
  races.SendUntilState("running");
  races.StartThirdVersion();
  races.SendFor(kAfterNewVersionDelay);
  races.SendUntilState("completed");
  races.Send(kRequests);
  cr_assert_eq(races.RunsOf("v3"), 0);
}

// Guards against a host that starts after the order was withdrawn and sends to
// the version that was rolled back. The drain leaves it no other version. Fails
// if RolloutControl::SetStates skips decisions without an order.
Test(promise, host_that_starts_after_a_withdrawal_follows_the_rollback) {
  RolloutRacesFixture races;
  races.SendUntilState("running");
  races.cluster.platform().WithdrawRollout("s");
  races.SendUntilState("rolled_back");
  const int runs = races.RunsOf("v2");
  races.cluster.StartHost(0);
  cr_assert(races.cluster.Await([&] { return races.cluster.AreAllReady(); }));
  races.DrainFirstVersion();
  races.SendFor(kAfterNewVersionDelay);
  cr_assert_eq(races.RunsOf("v2"), runs);
}

// Guards against an evacuation of the failure domain of all upstreams that
// promotes the version on trial, and against a rollout that a drain leaves
// open.
// Fails if VersionsOf leaves out drained upstreams.
Test(promise, drain_during_a_rollout_promotes_nothing) {
  RolloutRacesFixture races;
  races.SendUntilState("running");
  races.DrainFirstVersion();
  races.SendUntilState("rolled_back");
  const int runs = races.RunsOf("v2");
  races.Send(kRequests);
  cr_assert_eq(races.RunsOf("v2"), runs);
}

}  // namespace
}  // namespace pathcleat
