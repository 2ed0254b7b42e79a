// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Deadlines that callers send by mistake.

#include "test_cluster.hpp"

namespace pathcleat {
namespace {

HttpRequest WithDeadline(HttpRequest request, const std::string& text) {
  request.headers.push_back(
      {platform::PlatformHeaderNames().deadline_ms, text});
  return request;
}

// A caller that waits no longer is refused at once, and nothing is done for
// it. Checked to fail with the test of time left taken out of
// KeyGuard::Claim: the key was claimed in the store.
Test(deadlines, nothing_is_done_for_a_caller_that_waits_no_longer) {
  TestCluster world;
  world.StartAll();
  cr_assert(world.Await([&] { return world.host(0).state().store_reachable; }));
  const std::string host =
      world.address() + ":" + std::to_string(world.CallerPort(0));
  const auto writes = world.platform().writes();
  for (const char* text : {"0", "-1", "-99999999999999999999"}) {
    const std::string id = std::string("late") + text;
    for (const HttpRequest& request :
         {world.GetRequest(id), world.PostRequest(id),
          world.PostRequest(id, "key" + id)}) {
      const CallResult result =
          world.SendAndWait(host, WithDeadline(request, text));
      cr_assert_eq(result.response.status, http_status::kUnavailable);
      cr_assert_str_eq(TestCluster::OutcomeHeader(result).c_str(), "not-run");
    }
    cr_assert_eq(world.RunsOf(id), 0);
  }
  cr_assert_eq(world.platform().writes(), writes);
}

// Checked to fail, with 503, without kLongestDeadline: the largest number
// became a time in the past.
Test(deadlines, absurd_or_missing_ones_leave_the_time_of_the_route) {
  TestCluster world;
  world.StartAll();
  const std::string host =
      world.address() + ":" + std::to_string(world.CallerPort(0));
  for (const char* text : {"9223372036854775807", "99999999999999999999",
                           "soon", "", "1000000000000"}) {
    const std::string id = std::string("absurd") + text;
    const CallResult result =
        world.SendAndWait(host, WithDeadline(world.GetRequest(id), text));
    cr_assert_eq(result.response.status, http_status::kOk);
    cr_assert_eq(world.RunsOf(id), 1);
  }
  cr_assert_eq(world.Get(0, "missing").response.status, http_status::kOk);
}

}  // namespace
}  // namespace pathcleat
