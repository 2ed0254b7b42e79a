// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Upstreams that state in their answers that they leave, or how long this host
// is to send them nothing.

#include <algorithm>
#include <set>

#include "test_cluster.hpp"

namespace pathcleat {
namespace {

constexpr Duration kDrainTime{2'000'000};

// Sends requests to each host in turn for a while, each about another object,
// so that all upstreams get some of them.
void SendRequests(TestCluster& cluster, std::size_t hosts, Duration duration) {
  const Time end = BootClock::now() + duration;
  for (std::size_t i = 0; BootClock::now() < end; ++i) {
    HttpRequest request = cluster.GetRequest("r" + std::to_string(i));
    request.headers.push_back(
        {platform::PlatformHeaderNames().affinity_key, std::to_string(i)});
    cluster.SendToHost(i % hosts, request);
  }
}

std::ptrdiff_t ArrivalsBetween(const UpstreamStandIn& upstream,
                               Time from,
                               Time to) {
  const auto& arrivals = upstream.ledger().arrivals;
  return std::count_if(
      arrivals.begin(), arrivals.end(),
      [from, to](Time arrival) { return arrival > from && arrival < to; });
}

// Guards against hosts that ignore an upstream's announcement in its answers:
// it got requests until the store listed it as leaving, 12 s later.
Test(promise, upstream_that_announces_leaving_gets_nothing_new) {
  TestCluster cluster;
  cluster.StartAll();
  UpstreamStandIn& leaving = cluster.upstream(0);
  leaving.SetLeavingHeader("1");
  SendRequests(cluster, 2, kDrainTime * 2);
  const auto announced = leaving.ledger().announced_leaving_at;
  cr_assert(announced.has_value());
  cr_assert_eq(
      ArrivalsBetween(leaving, *announced + kDrainTime, BootClock::now()), 0);
}

// Guards against hosts that ignore an upstream's Retry-After: seven requests of
// one host reached an upstream within the 3 s for which it wanted none.
Test(promise, upstream_gets_nothing_in_the_time_it_asked_for) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1};
  TestCluster cluster(plan);
  cluster.StartAll();
  UpstreamStandIn& rejecting = cluster.upstream(0);
  rejecting.RejectWithRetryAfter("1.5");
  SendRequests(cluster, 1, Duration(3'000'000));
  const auto& arrivals = rejecting.ledger().arrivals;
  cr_assert_not(arrivals.empty());
  for (const Time rejected : arrivals) {
    cr_assert_eq(
        ArrivalsBetween(rejecting, rejected, rejected + Duration(1'500'000)),
        0);
  }
}

TestClusterPlan OneHostPlan(int upstreams = 2) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1};
  plan.upstreams_in_domain = upstreams;
  return plan;
}

// Guards against hosts that learn of the leaving only in answers to their own
// requests while the store is slow: each of them sends one request at least.
Test(upstream_statements, hosts_without_answers_are_told_of_the_leaving) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 2};
  plan.upstreams_in_domain = 1;
  TestCluster cluster(plan);
  cluster.StartAll();
  UpstreamStandIn& leaving = cluster.upstream(0);
  leaving.SetLeavingHeader("1");
  const auto is_known_to_all = [&cluster, &leaving] {
    for (std::size_t host = 0; host < 4; ++host) {
      if (!cluster.host(host)
               .state()
               .upstreams.Find(leaving.id())
               ->announced_leaving) {
        return false;
      }
    }
    return true;
  };
  while (!is_known_to_all()) {
    SendRequests(cluster, 1, Duration(10'000));
  }
  cr_assert(cluster.HasEvent(3, EventCode::kUpstreamAnnouncedLeaving));
  const std::string shown =
      cluster.RunCommand(3, "show upstreams").response.body.str();
  cr_assert(shown.find("says that it leaves") != std::string::npos);
}

// Guards against a list that brings the upstream back: the store still lists it
// as ready, also after its entry was gone.
Test(upstream_statements, list_does_not_revoke_what_the_upstream_stated) {
  TestCluster cluster(OneHostPlan());
  cluster.StartAll();
  UpstreamStandIn& leaving = cluster.upstream(0);
  leaving.SetLeavingHeader("1");
  UpstreamTable& table = cluster.host(0).state().upstreams;
  while (!table.Find(leaving.id())->announced_leaving) {
    SendRequests(cluster, 1, Duration(10'000));
  }
  const std::size_t known = leaving.ledger().arrivals.size();
  UpstreamInfo entry = cluster.upstream_info(0);
  entry.slots = 7;
  cluster.platform().PutUpstream(entry);
  cr_assert(
      cluster.Await([&] { return table.Find(leaving.id())->info.slots == 7; }));
  SendRequests(cluster, 1, Duration(200'000));
  table.Remove(leaving.id());
  table.Put(entry, BootClock::now());
  SendRequests(cluster, 1, Duration(200'000));
  cr_assert_eq(leaving.ledger().arrivals.size(), known);
  // Its next start is another one.
  leaving.SetLeavingHeader("");
  entry.started_ms = 5;
  table.Put(entry, BootClock::now());
  SendRequests(cluster, 1, Duration(500'000));
  cr_assert_gt(leaving.ledger().arrivals.size(), known);
}

// Guards against an upstream that is left out, though it does not leave.
Test(upstream_statements, other_values_of_the_leaving_header_mean_nothing) {
  for (const std::string value : {"0", "", "no"}) {
    TestCluster cluster(OneHostPlan(1));
    cluster.StartAll();
    cluster.upstream(0).SetLeavingHeader(value);
    for (int i = 0; i < 10; ++i) {
      cr_assert_eq(cluster.Get(0, "r" + std::to_string(i)).response.status,
                   http_status::kOk);
    }
  }
}

// Guards against callers that are told 503 while other upstreams have room: one
// in three was, as rejections are fast and free the slots.
Test(upstream_statements, callers_are_served_by_the_upstreams_that_have_room) {
  for (const bool states_not_run : {true, false}) {
    TestCluster cluster(OneHostPlan(3));
    cluster.StartAll();
    cluster.upstream(0).RejectWithRetryAfter("1", states_not_run);
    const Time end = BootClock::now() + Duration(2'500'000);
    for (int i = 0; BootClock::now() < end; ++i) {
      const CallResult result = cluster.Get(0, "r" + std::to_string(i));
      cr_assert_eq(result.response.status, http_status::kOk);
    }
  }
}

// Guards against callers that wait, or requests that are sent, though it is
// known that no upstream takes them.
Test(upstream_statements, without_another_upstream_requests_are_refused_once) {
  TestCluster cluster(OneHostPlan());
  cluster.StartAll();
  cluster.ForEachUpstream(
      [](UpstreamStandIn& u) { u.RejectWithRetryAfter("2"); });
  while (cluster.host(0).state().upstreams.BackingOff().size() < 2) {
    SendRequests(cluster, 1, Duration(1'000));
  }
  cr_assert(cluster.HasEvent(0, EventCode::kUpstreamBackoff));
  const std::string shown =
      cluster.RunCommand(0, "show upstreams").response.body.str();
  const std::string before_time = "wants nothing from here for ";
  const std::size_t time = shown.find(before_time) + before_time.size();
  const std::size_t after_time = shown.find_first_not_of("0123456789", time);
  cr_assert_gt(after_time, time, "%s", shown.c_str());
  cr_assert_eq(shown.substr(after_time, 3), std::string(" ms"));
  const auto all_back_off = [&cluster] {
    for (const UpstreamPtr& upstream :
         cluster.host(0).state().upstreams.All()) {
      if (!upstream->backoff.IsInForce(BootClock::now())) {
        return false;
      }
    }
    return true;
  };
  std::set<std::string> delays;
  while (all_back_off()) {
    const CallResult result =
        cluster.Post(0, "p" + std::to_string(delays.size()));
    // The time may be over before the answer has come.
    if (all_back_off()) {
      cr_assert_eq(result.response.status, http_status::kUnavailable);
      cr_assert_eq(TestCluster::OutcomeHeader(result), std::string("not-run"));
      delays.insert(FindHeader(result.response.headers, "Retry-After").value());
    }
  }
  cr_assert_gt(delays.size(), 5U);
  cluster.ForEachUpstream([](UpstreamStandIn& u) {
    for (const Time rejected : u.ledger().arrivals) {
      cr_assert_eq(ArrivalsBetween(u, rejected, rejected + Duration(2'000'000)),
                   0);
    }
  });
  cluster.ForEachUpstream(
      [](UpstreamStandIn& u) { u.RejectWithRetryAfter(""); });
  cr_assert(cluster.Await(
      [&] { return cluster.host(0).state().upstreams.BackingOff().empty(); }));
  cr_assert_eq(cluster.Get(0, "again").response.status, http_status::kOk);
  cr_assert(cluster.HasEvent(0, EventCode::kUpstreamBackoffEnded));
}

// Guards against a value that stops all requests to an upstream for good, or
// that is logged with each answer.
Test(upstream_statements, unreadable_retry_after_is_logged_once_and_ignored) {
  for (const std::string value :
       {"-1", "nan", "1e999", "soon", "Thu, 03 Dec 2026 16:00:00 GMT"}) {
    TestCluster cluster(OneHostPlan(1));
    cluster.StartAll();
    cluster.upstream(0).RejectWithRetryAfter(value);
    for (int i = 0; i < 5; ++i) {
      cluster.Get(0, "r" + std::to_string(i));
    }
    cluster.upstream(0).RejectWithRetryAfter("");
    cr_assert_eq(cluster.Get(0, "after").response.status, http_status::kOk);
    int logged = 0;
    for (const Event& event : cluster.host(0).state().events.Snapshot()) {
      logged += event.code == EventCode::kRetryAfterUnreadable ? 1 : 0;
    }
    cr_assert_eq(logged, 1);
  }
}

// Guards against a caller's 503 that the upstream's Retry-After of 0 causes.
Test(upstream_statements, retry_after_of_zero_is_no_time) {
  TestCluster cluster(OneHostPlan(1));
  cluster.StartAll();
  cluster.upstream(0).RejectWithRetryAfter("0");
  cluster.Get(0, "r");
  cluster.upstream(0).RejectWithRetryAfter("");
  cr_assert_eq(cluster.Get(0, "after").response.status, http_status::kOk);
  cr_assert_not(cluster.HasEvent(0, EventCode::kRetryAfterUnreadable));
}

}  // namespace
}  // namespace pathcleat
