// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// What refused callers are told, over the whole path.

#include <cstdlib>

#include "test_cluster.hpp"

namespace pathcleat {
namespace {

constexpr int kHeededPart = 3;

HttpRequest Waiting(HttpRequest request, int deadline_ms) {
  request.headers.push_back({platform::PlatformHeaderNames().deadline_ms,
                             std::to_string(deadline_ms)});
  return request;
}

int RetryAfterMs(const CallResult& result) {
  const auto text = FindHeader(result.response.headers, "Retry-After");
  cr_assert(text.has_value(), "a refusal says when to come back");
  constexpr double kMillis = 1e3;
  return static_cast<int>(std::atof(text->c_str()) * kMillis);
}

// Checked to fail with the constant of 250 ms in Call::RetryOrGiveUp.
Test(refusals, nobody_is_told_to_come_later_than_it_heeds) {
  TestCluster world;
  world.StartAll();
  world.ForEachUpstream([](UpstreamStandIn& u) { u.RejectRequests(true); });
  const std::string host =
      world.address() + ":" + std::to_string(world.CallerPort(0));
  constexpr int kDeadlineMs = 600;
  for (int i = 0; i < 4; ++i) {
    const CallResult result = world.SendAndWait(
        host, Waiting(world.PostRequest("r" + std::to_string(i)), kDeadlineMs));
    cr_assert_eq(result.response.status, http_status::kUnavailable);
    cr_assert_leq(RetryAfterMs(result), kDeadlineMs / kHeededPart);
  }
}

// A host that knows no configuration yet. Checked to fail with the constant
// of 0.3 s in Gateway::HandleCaller.
Test(refusals, host_without_configuration_tells_the_last_useful_moment) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1};
  TestCluster world(plan);
  platform::StandInFaults away;
  away.forced_status = http_status::kUnavailable;
  world.platform().SetFaults(away);
  world.StartHost(0);
  const std::string host =
      world.address() + ":" + std::to_string(world.CallerPort(0));
  constexpr int kDeadlineMs = 600;
  const CallResult result =
      world.SendAndWait(host, Waiting(world.GetRequest("early"), kDeadlineMs));
  cr_assert_eq(result.response.status, http_status::kUnavailable);
  cr_assert_eq(RetryAfterMs(result), kDeadlineMs / kHeededPart);
  // Its readiness is asked for by schedule: nothing to tell.
  cr_assert(
      !FindHeader(world.QueryReadiness(0).response.headers, "Retry-After"));
}

// All hosts of a fleet start while there is no configuration: each named the
// others, and callers went round at once, without end. Checked to fail with
// Alive() > 1 in Gateway::ReturnUnloaded.
Test(refusals, hosts_that_all_lack_a_configuration_do_not_name_each_other) {
  TestCluster world;
  world.platform().PutRaw("op", "config", "none yet");
  world.StartHost(0);
  world.StartHost(1);
  cr_assert(world.Await([&] {
    return world.host(0).state().hosts.AliveCount(BootClock::now()) == 2;
  }));
  const std::string host =
      world.address() + ":" + std::to_string(world.CallerPort(0));
  constexpr int kDeadlineMs = 600;
  const auto told = [&](const std::string& run_id) {
    const CallResult result =
        world.SendAndWait(host, Waiting(world.GetRequest(run_id), kDeadlineMs));
    cr_assert_eq(result.response.status, http_status::kUnavailable);
    return RetryAfterMs(result);
  };
  cr_assert_eq(told("early"), kDeadlineMs / kHeededPart);
}

// Checked to fail with the constant of 1 s in KeyGuard: callers cut it.
Test(refusals, keyed_work_without_a_store_returns_while_it_can_be_served) {
  TestCluster world;
  world.StartAll();
  platform::StandInFaults away;
  away.forced_status = http_status::kUnavailable;
  world.platform().SetFaults(away);
  const std::string host =
      world.address() + ":" + std::to_string(world.CallerPort(0));
  constexpr int kDeadlineMs = 900;
  const CallResult result = world.SendAndWait(
      host, Waiting(world.PostRequest("k", "key"), kDeadlineMs));
  cr_assert_eq(result.response.status, http_status::kUnavailable);
  cr_assert_leq(RetryAfterMs(result), kDeadlineMs / kHeededPart);
}

}  // namespace
}  // namespace pathcleat
