// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Version rollouts on the whole path: hosts, the store's rows and upstreams.

#include "test_cluster.hpp"

#include <nlohmann/json.hpp>

namespace pathcleat {
namespace {

constexpr std::size_t kHosts = 2;
// At 340 requests a second, 27 of them tried, 150 answers take 6 s.
constexpr Duration kAllowed{14'000'000};

// A world of four upstreams; the last two run version "v2".
class RolloutWorld {
 public:
  RolloutWorld() : world(PlanOf()) {
    for (std::size_t i = 0; i < world.upstream_count(); ++i) {
      Put(i, i < world.upstream_count() / 2 ? "v1" : "v2");
    }
    world.platform().PutRollout({"s", "v2", kAllowed, 0});
    world.StartAll();
  }

  std::string Status() {
    const auto row = world.platform().ValueOf("status", "rollout/s");
    return row ? nlohmann::json::parse(*row).value("State", "") : "";
  }

  int RunsOf(bool fresh) {
    int runs = 0;
    for (std::size_t i = 0; i < world.upstream_count(); ++i) {
      const bool is_fresh = i >= world.upstream_count() / 2;
      runs += is_fresh == fresh ? world.upstream(i).ledger().runs : 0;
    }
    return runs;
  }

  // Sends requests until the status is this one, or a final one.
  bool AskUntil(const std::string& status) {
    const auto is_over = [&] {
      const std::string now = Status();
      return now == status || now == "completed" || now == "rolled_back";
    };
    for (int i = 0; !is_over(); ++i) {
      world.Get(static_cast<std::size_t>(i) % kHosts,
                "r" + std::to_string(next_++));
    }
    return Status() == status;
  }

  TestCluster world;

 private:
  static TestClusterPlan PlanOf() {
    TestClusterPlan plan;
    plan.hosts_in_domain = {kHosts};
    plan.upstreams_in_domain = 4;
    return plan;
  }

  void Put(std::size_t i, const std::string& version) {
    UpstreamInfo info = world.upstream_info(i);
    info.version = version;
    world.platform().PutUpstream(info);
  }

  int next_ = 0;
};

Test(rollout_path, good_version_gets_a_share_and_then_all) {
  RolloutWorld rollout;
  cr_assert(rollout.AskUntil("running"));
  cr_assert(rollout.AskUntil("completed"));
  const int old_runs = rollout.RunsOf(false);
  const int fresh_runs = rollout.RunsOf(true);
  cr_assert_gt(old_runs, fresh_runs);
  for (int i = 0; i < 20; ++i) {
    rollout.world.Get(0, "after-" + std::to_string(i));
  }
  cr_assert_eq(rollout.RunsOf(false), old_runs);
}

// Promise: a version in doubt is taken back, and nothing more goes there.
Test(rollout_path, version_that_loses_answers_is_taken_back) {
  constexpr int kMostBad = 50;
  RolloutWorld rollout;
  rollout.world.upstream(2).CorruptAnswers(AnswerCorruption::kNoAnswer);
  rollout.world.upstream(3).CorruptAnswers(AnswerCorruption::kNoAnswer);
  cr_assert(rollout.AskUntil("rolled_back"));
  const int fresh_runs = rollout.RunsOf(true);
  cr_assert_leq(fresh_runs, kMostBad);
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(
        rollout.world.Get(0, "after-" + std::to_string(i)).response.status,
        http_status::kOk);
  }
  cr_assert_eq(rollout.RunsOf(true), fresh_runs);
}

Test(rollout_path, operators_take_a_version_back_and_see_it) {
  RolloutWorld rollout;
  cr_assert(rollout.AskUntil("running"));
  const auto shown = rollout.world.RunCommand(0, "show rollouts").response.body;
  cr_assert(shown.starts_with("s to v2: running"));
  cr_assert_eq(rollout.world.RunCommand(0, "roll back s").response.status,
               http_status::kOk);
  cr_assert(rollout.AskUntil("rolled_back"));
}

Test(rollout_path, order_that_is_withdrawn_is_taken_back) {
  RolloutWorld rollout;
  cr_assert(rollout.AskUntil("running"));
  rollout.world.platform().WithdrawRollout("s");
  cr_assert(rollout.AskUntil("rolled_back"));
}

// The decision is durable: hosts that start anew go on from it.
Test(promise, finished_rollout_stays_so_for_hosts_that_start_again) {
  RolloutWorld rollout;
  cr_assert(rollout.AskUntil("running"));
  rollout.world.RunCommand(0, "roll back s");
  cr_assert(rollout.AskUntil("rolled_back"));
  const int fresh_runs = rollout.RunsOf(true);
  rollout.world.StartHost(0);
  cr_assert(rollout.world.Await([&] { return rollout.world.AreAllReady(); }));
  for (int i = 0; i < 20; ++i) {
    rollout.world.Get(0, "after-" + std::to_string(i));
  }
  cr_assert_eq(rollout.RunsOf(true), fresh_runs);
  cr_assert_str_eq(rollout.Status().c_str(), "rolled_back");
}

}  // namespace
}  // namespace pathcleat
