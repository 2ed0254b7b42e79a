// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// What operators see of a rollout, over the whole path.

#include <nlohmann/json.hpp>

#include "test_cluster.hpp"

namespace pathcleat {
namespace {

constexpr Duration kRolloutTimeout{14'000'000};
constexpr std::size_t kHosts = 2;
constexpr std::size_t kUpstreams = 4;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// A cluster of four upstreams, of which the last two run version "v2".
class OperatorFixture {
 public:
  OperatorFixture() : cluster(MakePlan()) {
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      UpstreamInfo info = cluster.upstream_info(i);
      info.version = i < kUpstreams / 2 ? "v1" : "v2";
      cluster.platform().PutUpstream(info);
    }
    cluster.StartAll();
  }

  void Order() {
    cluster.platform().PutRollout({"s", "v2", kRolloutTimeout, 0});
  }

  CallResult Ask(const std::string& text, std::size_t host = 0) {
    return cluster.RunCommand(host, text);
  }
  std::string Show(const std::string& text) {
    return Ask(text).response.body.str();
  }

  // Sends requests in turn to all hosts until a condition holds.
  // @return whether it held within a generous number of requests.
  template <class Condition>
  bool SendUntil(const Condition& condition) {
    constexpr int kMaxRequests = 20'000;
    for (int i = 0; i < kMaxRequests; ++i) {
      if (condition()) {
        return true;
      }
      Send();
    }
    return false;
  }

  void Send() {
    const int number = next_request_++;
    cluster.Get(static_cast<std::size_t>(number) % kHosts,
                "r" + std::to_string(number));
  }

  RolloutState State(std::size_t host = 0) {
    const auto& rollouts = cluster.host(host).state().rollouts.states();
    const auto found = rollouts.find("s");
    return found == rollouts.end() ? RolloutState() : found->second;
  }
  bool IsRunning() { return State().order_id != 0; }
  std::string Status() {
    const auto row = cluster.platform().ValueOf("status", "rollout/s");
    return row ? nlohmann::json::parse(*row).value("State", "") : "";
  }
  int next_request() const { return next_request_; }

  TestCluster cluster;

 private:
  static TestClusterPlan MakePlan() {
    TestClusterPlan plan;
    plan.hosts_in_domain = {kHosts};
    plan.upstreams_in_domain = kUpstreams;
    return plan;
  }

  int next_request_ = 0;
};

// Guards against a report that leaves out one of the inputs of the decisions.
Test(rollout_operator, queries_show_the_state_of_a_rollout) {
  OperatorFixture fixture;
  cr_assert(fixture.Show("rollouts") == "no rollout was ordered\n");
  cr_assert(fixture.Show("rollout s") == "no rollout of s was ordered\n");
  fixture.Order();
  cr_assert(fixture.SendUntil([&] {
    return Contains(fixture.Show("rollout s"),
                    "new version on read: 0 failed of");
  }));
  const std::string details = fixture.Show("rollout s");
  for (const char* part :
       {"s to v2: running\norder ",
        " of 14.0 s passed, rolled back from 10.5 "
        "s on",
        "decisions: by commands at version 1",
        "share now: ", "exposure here: ", "at most 8.0%",
        "exposure of all hosts: ", "allowed for a bad version (10.0% of ",
        "test: undecided", "answers of all hosts, reported ",
        "sent from here since its start to v1: ",
        "sent from here since its start to v2: ", ", mean "}) {
    cr_assert(Contains(details, part), "%s lacks %s", details.c_str(), part);
  }
  cr_assert(fixture.Show("rollouts").starts_with("s to v2: running, "));
  fixture.Ask("roll back s");
  cr_assert(fixture.Show("rollouts").starts_with("s to v2: rolled_back, "));
}

// Guards against a hold that is not in force at all hosts, that promotes or
// completes, or that ends the trial. Fails without RestrictHeldStep: steps that
// are not applied fill the command log.
Test(rollout_operator, held_rollout_goes_on_when_it_is_resumed) {
  OperatorFixture fixture;
  cr_assert_eq(fixture.Ask("hold rollout s").response.status,
               http_status::kBadRequest);
  fixture.Order();
  cr_assert(fixture.SendUntil([&] { return fixture.IsRunning(); }));
  cr_assert_eq(fixture.Ask("hold rollout s").response.status, http_status::kOk);
  cr_assert_eq(fixture.Ask("hold rollout s").response.status,
               http_status::kBadRequest);
  cr_assert(fixture.SendUntil([&] { return fixture.State(1).IsHeld(); }));
  cr_assert(fixture.cluster.HasEvent(0, EventCode::kRolloutHeld));
  cr_assert(fixture.cluster.HasEvent(1, EventCode::kRolloutHeld));
  const Rollout& rollout = *fixture.cluster.host(0).state().rollouts.Find("s");
  const std::uint64_t tried = rollout.canary_limiter().new_version_sent();
  const Time resume_at = BootClock::now() + kRolloutTimeout * 6 / 10;
  cr_assert(fixture.SendUntil([&] { return BootClock::now() >= resume_at; }));
  cr_assert(fixture.State().phase == RolloutPhase::kRunning);
  cr_assert(fixture.Show("rollouts").starts_with("s to v2: running, held"));
  cr_assert_gt(rollout.canary_limiter().new_version_sent(), tried);
  cr_assert(Contains(fixture.Show("rollout s"), "commands at version 2,"));
  cr_assert_eq(fixture.Ask("resume rollout s").response.status,
               http_status::kOk);
  cr_assert(fixture.cluster.HasEvent(0, EventCode::kRolloutResumed));
  cr_assert(fixture.SendUntil([&] { return fixture.Status() != "running"; }));
  cr_assert(fixture.Status() == "completed");
}

// Guards against a trace that does not tell which rule sent a request to a
// version, and against fields of rollouts where none was ordered.
Test(rollout_operator, why_names_the_version_and_the_rule) {
  OperatorFixture fixture;
  fixture.Send();
  cr_assert_not(Contains(fixture.Show("why id-r0"), "version_rule="));
  fixture.Order();
  cr_assert(fixture.SendUntil([&] { return fixture.IsRunning(); }));
  bool canary_seen = false;
  bool others_seen = false;
  cr_assert(fixture.SendUntil([&] {
    const std::string why =
        fixture.Show("why id-r" + std::to_string(fixture.next_request() - 1));
    canary_seen =
        canary_seen || Contains(why, "version=v2 version_rule=canary");
    others_seen =
        others_seen || Contains(why, "version=v1 version_rule=other_versions");
    return canary_seen && others_seen;
  }));
}

// Guards against metrics of versions on the pages of fleets that have no
// rollouts, and against missing ones.
Test(rollout_operator, metrics_have_versions_only_with_an_order) {
  OperatorFixture fixture;
  fixture.Send();
  cr_assert_not(Contains(fixture.cluster.FetchMetrics(0).response.body.str(),
                         "pathcleat_version_"));
  fixture.Order();
  const auto page_has = [&](const std::string& part) {
    return Contains(fixture.cluster.FetchMetrics(0).response.body.str(), part);
  };
  cr_assert(fixture.SendUntil([&] {
    return page_has(
        "pathcleat_version_attempts_total{service=\"s\",version=\"v2\","
        "outcome=\"answered\"} 1\n");
  }));
  cr_assert(page_has(
      "pathcleat_version_requests_sent_total{service=\"s\",version=\"v1\"} "));
  cr_assert(
      page_has("pathcleat_version_answer_duration_seconds_count{service="
               "\"s\",version=\"v2\"} 1\n"));
}

}  // namespace
}  // namespace pathcleat
