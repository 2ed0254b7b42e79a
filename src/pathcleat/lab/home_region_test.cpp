// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// An account that may run only in one small region.

#include "test_cluster.hpp"

namespace pathcleat {
namespace {

constexpr const char* kKey = "key-of-runners";

// A caller that sends one request and records its answer.
struct Call {
  HttpClientPtr client;
  CallResult result;
  Duration elapsed{0};
  bool done = false;
};

// The region has 3 slots and gets 40 requests at once, more than it can serve
// in time. Guards against requests of the account that wait until their timeout
// or run in another region, and against free slots of the region.
Test(home_region, account_is_served_up_to_the_capacity_of_its_region) {
  constexpr int kCalls = 40;
  constexpr int kSlots = 3;
  constexpr Duration kTimeout{10'000'000};
  TestClusterPlan plan;
  plan.hosts_in_domain = {1, 1};
  plan.upstreams_in_domain = 1;
  plan.slots = kSlots;
  plan.service_time = std::chrono::milliseconds(200);
  plan.target_latency = Duration(1'000'000);
  plan.timeout = kTimeout;
  TestCluster cluster(plan);
  Account account;
  account.name = "runners";
  account.allowed_regions = {"region-0"};
  cluster.config().accounts = {account};
  ++cluster.config().version;
  cluster.platform().PutConfig(cluster.config(), {{"runners", {kKey}}});
  cluster.StartAll();
  cr_assert(cluster.Await([&] {
    return cluster.host(0).Versions().config == cluster.config().version &&
           cluster.host(1).Versions().config == cluster.config().version;
  }));
  std::vector<Call> calls(kCalls);
  const Time started = BootClock::now();
  for (int i = 0; i < kCalls; ++i) {
    Call& call = calls[i];
    call.client = std::make_shared<HttpClient>(
        cluster.loop(),
        *ParseTcpEndpoint(cluster.address() + ":" +
                          std::to_string(cluster.CallerPort(i % 2))),
        HttpLimits());
    HttpRequest request = cluster.GetRequest("r" + std::to_string(i));
    request.headers.push_back({"Authorization", std::string("Bearer ") + kKey});
    call.client->Send(request,
                      {std::chrono::seconds(60), std::chrono::seconds(60)},
                      [&call, started](const CallResult& result) {
                        call.result = result;
                        call.elapsed = BootClock::now() - started;
                        call.done = true;
                      });
  }
  cr_assert(cluster.Await([&] {
    return std::all_of(calls.begin(), calls.end(),
                       [](const Call& call) { return call.done; });
  }));
  int served = 0;
  Duration last_refused{0};
  Duration last_served{0};
  for (const Call& call : calls) {
    call.client->Cancel();
    if (call.result.response.status == http_status::kOk) {
      ++served;
      last_served = std::max(last_served, call.elapsed);
      continue;
    }
    cr_assert_eq(call.result.response.status, http_status::kUnavailable);
    cr_assert_eq(TestCluster::OutcomeHeader(call.result), "not-run");
    last_refused = std::max(last_refused, call.elapsed);
  }
  cr_log_info("served %d, last after %.0f ms; last refused after %.0f ms\n",
              served, ToMilliseconds(last_served),
              ToMilliseconds(last_refused));
  cr_assert_geq(served, kSlots);
  cr_assert_lt(served, kCalls);
  cr_assert(last_refused < plan.target_latency);
  for (std::size_t i = 0; i < cluster.upstream_count(); ++i) {
    const bool is_home = cluster.upstream_info(i).domain == "domain-0";
    cr_assert(is_home || cluster.upstream(i).ledger().runs == 0);
  }
}

}  // namespace
}  // namespace pathcleat
