// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Invalid, expired or missing deadlines of callers.

#include "test_cluster.hpp"

namespace pathcleat {
namespace {

HttpRequest WithDeadline(HttpRequest request, const std::string& text) {
  request.headers.push_back(
      {platform::PlatformHeaderNames().deadline_ms, text});
  return request;
}

// A request whose deadline has passed is refused at once, and nothing is done
// for it. Fails without the check of the time left in IdempotencyGuard::Claim:
// the key was claimed in the store.
Test(deadlines, nothing_is_done_after_the_deadline) {
  TestCluster cluster;
  cluster.StartAll();
  cr_assert(
      cluster.Await([&] { return cluster.host(0).state().store_reachable; }));
  const std::string host =
      cluster.address() + ":" + std::to_string(cluster.CallerPort(0));
  const auto writes = cluster.platform().writes();
  for (const char* text : {"0", "-1", "-99999999999999999999"}) {
    const std::string id = std::string("late") + text;
    for (const HttpRequest& request :
         {cluster.GetRequest(id), cluster.PostRequest(id),
          cluster.PostRequest(id, "key" + id)}) {
      const CallResult result =
          cluster.SendAndWait(host, WithDeadline(request, text));
      cr_assert_eq(result.response.status, http_status::kUnavailable);
      cr_assert_str_eq(TestCluster::OutcomeHeader(result).c_str(), "not-run");
    }
    cr_assert_eq(cluster.RunsOf(id), 0);
  }
  cr_assert_eq(cluster.platform().writes(), writes);
}

// Fails, with 503, without kMaxCallerTimeout: the largest number overflowed to
// a time in the past.
Test(deadlines, invalid_or_missing_deadline_leaves_the_timeout_of_the_route) {
  TestCluster cluster;
  cluster.StartAll();
  const std::string host =
      cluster.address() + ":" + std::to_string(cluster.CallerPort(0));
  for (const char* text : {"9223372036854775807", "99999999999999999999",
                           "soon", "", "1000000000000"}) {
    const std::string id = std::string("absurd") + text;
    const CallResult result =
        cluster.SendAndWait(host, WithDeadline(cluster.GetRequest(id), text));
    cr_assert_eq(result.response.status, http_status::kOk);
    cr_assert_eq(cluster.RunsOf(id), 1);
  }
  cr_assert_eq(cluster.Get(0, "missing").response.status, http_status::kOk);
}

}  // namespace
}  // namespace pathcleat
