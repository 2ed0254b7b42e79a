// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Version rollouts over the whole path: hosts, rows of the store and upstreams.

#include "test_cluster.hpp"

#include <nlohmann/json.hpp>

namespace pathcleat {
namespace {

constexpr std::size_t kHosts = 2;
// At 340 requests a second, of which 27 are sent to the new version, its 150
// answers take 6 s.
constexpr Duration kRolloutTimeout{14'000'000};

// A cluster of four upstreams, of which the second half runs version "v2".
class RolloutFixture {
 public:
  explicit RolloutFixture(int upstreams = 4) : cluster(MakePlan(upstreams)) {
    for (std::size_t i = 0; i < cluster.upstream_count(); ++i) {
      PutUpstream(i, i < cluster.upstream_count() / 2 ? "v1" : "v2");
    }
    cluster.platform().PutRollout({"s", "v2", kRolloutTimeout, 0});
    cluster.StartAll();
  }

  std::string Status() {
    const auto row = cluster.platform().ValueOf("status", "rollout/s");
    return row ? nlohmann::json::parse(*row).value("State", "") : "";
  }

  int RunsOf(bool new_version) {
    int runs = 0;
    for (std::size_t i = 0; i < cluster.upstream_count(); ++i) {
      const bool is_new_version = i >= cluster.upstream_count() / 2;
      runs +=
          is_new_version == new_version ? cluster.upstream(i).ledger().runs : 0;
    }
    return runs;
  }

  // Sends requests until the rollout has this status or a final one.
  bool SendUntil(const std::string& status) {
    const auto is_over = [&] {
      const std::string now = Status();
      return now == status || now == "completed" || now == "rolled_back";
    };
    for (int i = 0; !is_over(); ++i) {
      cluster.Get(static_cast<std::size_t>(i) % kHosts,
                  "r" + std::to_string(next_request_++));
    }
    return Status() == status;
  }

  TestCluster cluster;

 private:
  static TestClusterPlan MakePlan(int upstreams) {
    TestClusterPlan plan;
    plan.hosts_in_domain = {kHosts};
    plan.upstreams_in_domain = upstreams;
    return plan;
  }

  void PutUpstream(std::size_t i, const std::string& version) {
    UpstreamInfo info = cluster.upstream_info(i);
    info.version = version;
    cluster.platform().PutUpstream(info);
  }

  int next_request_ = 0;
};

Test(rollout_path, good_version_gets_a_share_and_then_all) {
  RolloutFixture rollout;
  cr_assert(rollout.SendUntil("running"));
  cr_assert(rollout.SendUntil("completed"));
  const int old_runs = rollout.RunsOf(false);
  const int new_runs = rollout.RunsOf(true);
  cr_assert_gt(old_runs, new_runs);
  for (int i = 0; i < 20; ++i) {
    rollout.cluster.Get(0, "after-" + std::to_string(i));
  }
  cr_assert_eq(rollout.RunsOf(false), old_runs);
}

// Promise: a version that fails is rolled back and receives no more requests.
Test(rollout_path, version_that_loses_answers_is_rolled_back) {
  constexpr int kMaxBadRuns = 50;
  RolloutFixture rollout;
  rollout.cluster.upstream(2).CorruptAnswers(AnswerCorruption::kNoAnswer);
  rollout.cluster.upstream(3).CorruptAnswers(AnswerCorruption::kNoAnswer);
  cr_assert(rollout.SendUntil("rolled_back"));
  const int new_runs = rollout.RunsOf(true);
  cr_assert_leq(new_runs, kMaxBadRuns);
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(
        rollout.cluster.Get(0, "after-" + std::to_string(i)).response.status,
        http_status::kOk);
  }
  cr_assert_eq(rollout.RunsOf(true), new_runs);
}

// Run times of an upstream whose keys are warm or cold.
constexpr std::chrono::milliseconds kWarmRun{2};
constexpr std::chrono::milliseconds kColdRun{7};
constexpr int kUpstreams = 8;
constexpr int kPopularKeys = 10;

// Sends requests for keys, of which a part is requested often, to upstreams
// that are slower for keys that they have not served yet. The new version takes
// a multiple of the old version's time.
class SlowVersionFixture {
 public:
  // @param popular of 100 requests, those for one of the popular keys.
  SlowVersionFixture(int factor, int popular)
      : popular_(popular), rollout_(kUpstreams) {
    for (std::size_t i = 0; i < rollout_.cluster.upstream_count(); ++i) {
      const bool is_new = i >= rollout_.cluster.upstream_count() / 2;
      rollout_.cluster.upstream(i).SetActionChooser(
          [this, factor = is_new ? factor : 1,
           served = std::set<std::string>()]() mutable {
            const bool warm = !served.insert(key_).second;
            return UpstreamAction{UpstreamAction::Kind::kAnswer,
                                  (warm ? kWarmRun : kColdRun) * factor};
          });
    }
  }

  std::string RunUntilDecided() {
    while (rollout_.Status() != "completed" &&
           rollout_.Status() != "rolled_back") {
      SendOne();
    }
    return rollout_.Status();
  }

  int NewVersionRuns() { return rollout_.RunsOf(true); }

 private:
  void SendOne() {
    ++sent_;
    key_ = sent_ * 37 % 100 < popular_
               ? "k" + std::to_string(sent_ % kPopularKeys)
               : "once" + std::to_string(sent_);
    HttpRequest request =
        rollout_.cluster.GetRequest("k" + std::to_string(sent_));
    request.headers.push_back(
        {platform::PlatformHeaderNames().affinity_key, key_});
    rollout_.cluster.SendToHost(static_cast<std::size_t>(sent_ / 10) % kHosts,
                                request);
  }

  int popular_;
  int sent_ = 0;
  std::string key_;
  RolloutFixture rollout_;
};

// Guards against a version that is several times slower for warm keys, but not
// slower than the expected run with a cold key, and was completed with no bad
// answer.
Test(rollout_path, slower_version_is_rolled_back) {
  constexpr int kPopularShare = 80;
  for (const int factor : {2, 3, 5}) {
    SlowVersionFixture fixture(factor, kPopularShare);
    const std::string status = fixture.RunUntilDecided();
    cr_assert_str_eq(status.c_str(), "rolled_back", "%d times slower: %s",
                     factor, status.c_str());
  }
}

Test(rollout_path, version_slower_with_all_keys_warm_is_rolled_back) {
  for (const int factor : {2, 3, 5}) {
    SlowVersionFixture fixture(factor, 100);
    const std::string status = fixture.RunUntilDecided();
    cr_assert_str_eq(status.c_str(), "rolled_back", "%d times slower: %s",
                     factor, status.c_str());
  }
}

// Guards against a good version that is rolled back because its keys are cold.
Test(rollout_path, version_with_colder_keys_is_completed) {
  constexpr int kPopularShare = 80;
  SlowVersionFixture fixture(1, kPopularShare);
  const std::string status = fixture.RunUntilDecided();
  cr_assert_str_eq(status.c_str(), "completed");
}

Test(rollout_path, operators_roll_a_version_back_and_see_its_status) {
  RolloutFixture rollout;
  cr_assert(rollout.SendUntil("running"));
  const auto shown =
      rollout.cluster.RunCommand(0, "show rollouts").response.body.str();
  cr_assert(shown.starts_with("s to v2: running"));
  cr_assert_eq(rollout.cluster.RunCommand(0, "roll back s").response.status,
               http_status::kOk);
  cr_assert(rollout.SendUntil("rolled_back"));
}

Test(rollout_path, withdrawn_order_is_rolled_back) {
  RolloutFixture rollout;
  cr_assert(rollout.SendUntil("running"));
  rollout.cluster.platform().WithdrawRollout("s");
  cr_assert(rollout.SendUntil("rolled_back"));
}

// The result of a rollout is stored, so hosts that restart continue with it.
Test(promise, finished_rollout_stays_finished_for_restarted_hosts) {
  RolloutFixture rollout;
  cr_assert(rollout.SendUntil("running"));
  rollout.cluster.RunCommand(0, "roll back s");
  cr_assert(rollout.SendUntil("rolled_back"));
  const int new_runs = rollout.RunsOf(true);
  rollout.cluster.StartHost(0);
  cr_assert(
      rollout.cluster.Await([&] { return rollout.cluster.AreAllReady(); }));
  for (int i = 0; i < 20; ++i) {
    rollout.cluster.Get(0, "after-" + std::to_string(i));
  }
  cr_assert_eq(rollout.RunsOf(true), new_runs);
  cr_assert_str_eq(rollout.Status().c_str(), "rolled_back");
}

}  // namespace
}  // namespace pathcleat
