// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Retry-After of refusals, over the whole path.

#include <cstdlib>

#include "test_cluster.hpp"

namespace pathcleat {
namespace {

// Callers follow a Retry-After of up to a third of their remaining time.
constexpr int kRetryAfterDivisor = 3;

HttpRequest WithDeadline(HttpRequest request, int deadline_ms) {
  request.headers.push_back({platform::PlatformHeaderNames().deadline_ms,
                             std::to_string(deadline_ms)});
  return request;
}

int RetryAfterMs(const CallResult& result) {
  const auto text = FindHeader(result.response.headers, "Retry-After");
  cr_assert(text.has_value(), "a refusal lacks Retry-After");
  constexpr double kMillis = 1e3;
  return static_cast<int>(std::atof(text->c_str()) * kMillis);
}

// Callers ignore a Retry-After of more than a third of their deadline. Fails
// with a constant Retry-After of 250 ms in RequestHandler::RetryOrGiveUp.
Test(refusals, retry_after_is_at_most_a_third_of_the_deadline) {
  TestCluster cluster;
  cluster.StartAll();
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.RejectRequests(true); });
  const std::string host =
      cluster.address() + ":" + std::to_string(cluster.CallerPort(0));
  constexpr int kDeadlineMs = 600;
  for (int i = 0; i < 4; ++i) {
    const CallResult result = cluster.SendAndWait(
        host, WithDeadline(cluster.PostRequest("r" + std::to_string(i)),
                           kDeadlineMs));
    cr_assert_eq(result.response.status, http_status::kUnavailable);
    cr_assert_leq(RetryAfterMs(result), kDeadlineMs / kRetryAfterDivisor);
  }
}

// A host without a configuration sends the longest Retry-After that its callers
// still follow. Fails with a constant Retry-After of 0.3 s in
// Gateway::HandleCaller.
Test(refusals, host_without_configuration_sends_the_latest_retry_after) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1};
  TestCluster cluster(plan);
  platform::StandInFaults unavailable;
  unavailable.forced_status = http_status::kUnavailable;
  cluster.platform().SetFaults(unavailable);
  cluster.StartHost(0);
  const std::string host =
      cluster.address() + ":" + std::to_string(cluster.CallerPort(0));
  constexpr int kDeadlineMs = 600;
  const CallResult result = cluster.SendAndWait(
      host, WithDeadline(cluster.GetRequest("early"), kDeadlineMs));
  cr_assert_eq(result.response.status, http_status::kUnavailable);
  cr_assert_eq(RetryAfterMs(result), kDeadlineMs / kRetryAfterDivisor);
  // Readiness is polled at a fixed interval, so it needs no Retry-After.
  cr_assert(
      !FindHeader(cluster.QueryReadiness(0).response.headers, "Retry-After"));
}

// Guards against callers that go from host to host without end, because all
// hosts start without a configuration and each sends its callers to the others
// at once. Fails with AliveCount() > 1 as the condition in
// Gateway::RetryDelayWithoutConfig.
Test(refusals,
     hosts_that_all_lack_a_configuration_send_no_caller_to_each_other) {
  TestCluster cluster;
  cluster.platform().PutRaw("op", "config", "none yet");
  cluster.StartHost(0);
  cluster.StartHost(1);
  cr_assert(cluster.Await([&] {
    return cluster.host(0).state().hosts.AliveCount(BootClock::now()) == 2;
  }));
  const std::string host =
      cluster.address() + ":" + std::to_string(cluster.CallerPort(0));
  constexpr int kDeadlineMs = 600;
  const auto retry_after = [&](const std::string& run_id) {
    const CallResult result = cluster.SendAndWait(
        host, WithDeadline(cluster.GetRequest(run_id), kDeadlineMs));
    cr_assert_eq(result.response.status, http_status::kUnavailable);
    return RetryAfterMs(result);
  };
  cr_assert_eq(retry_after("early"), kDeadlineMs / kRetryAfterDivisor);
}

// A keyed request that is refused because the store is down gets a Retry-After
// that leaves enough time to serve the retry. Fails with a constant Retry-After
// of 1 s in IdempotencyGuard: callers do not wait that long.
Test(refusals, keyed_request_without_a_store_retries_while_it_can_be_served) {
  TestCluster cluster;
  cluster.StartAll();
  platform::StandInFaults unavailable;
  unavailable.forced_status = http_status::kUnavailable;
  cluster.platform().SetFaults(unavailable);
  const std::string host =
      cluster.address() + ":" + std::to_string(cluster.CallerPort(0));
  constexpr int kDeadlineMs = 900;
  const CallResult result = cluster.SendAndWait(
      host, WithDeadline(cluster.PostRequest("k", "key"), kDeadlineMs));
  cr_assert_eq(result.response.status, http_status::kUnavailable);
  cr_assert_leq(RetryAfterMs(result), kDeadlineMs / kRetryAfterDivisor);
}

}  // namespace
}  // namespace pathcleat
