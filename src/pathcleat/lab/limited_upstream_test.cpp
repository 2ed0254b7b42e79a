// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// An upstream that reports, in its answers, how many requests per second it
// accepts from all hosts together.

#include <algorithm>

#include "test_cluster.hpp"

namespace pathcleat {
namespace {

constexpr std::size_t kHosts = 4;
constexpr double kLimit = 2;
constexpr Duration kWindow{4'000'000};
// Requests per window: 1.5 times the limit, plus 5.
constexpr double kMaxInWindow = 1.5 * kLimit * 4 + 5;
constexpr Duration kInformedWithin{1'000'000};

// Two failure domains with two hosts and two upstreams each.
TestClusterPlan MakePlan() {
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 2};
  return plan;
}

// Sends requests to each host in turn for a while.
void SendRequests(TestCluster& cluster, Duration duration) {
  const Time end = BootClock::now() + duration;
  for (int i = 0; BootClock::now() < end; ++i) {
    cluster.Get(static_cast<std::size_t>(i) % kHosts, "r" + std::to_string(i));
  }
}

// The largest number of arrivals in any window after a given time.
double MaxInWindow(const std::vector<Time>& arrivals, Time after) {
  std::ptrdiff_t max_count = 0;
  for (auto first = std::lower_bound(arrivals.begin(), arrivals.end(), after);
       first != arrivals.end(); ++first) {
    const auto end = std::lower_bound(first, arrivals.end(), *first + kWindow);
    max_count = std::max(max_count, end - first);
  }
  return static_cast<double>(max_count);
}

// Guards against hosts that ignore the limit: the upstream got as many requests
// as without a limit.
Test(limited_upstream, gets_no_more_than_its_limit_from_all_hosts_together) {
  TestCluster cluster(MakePlan());
  cluster.StartAll();
  UpstreamStandIn& limited = cluster.upstream(0);
  limited.SetLimitHeader("2.0");
  const Time started = BootClock::now();
  SendRequests(cluster, kInformedWithin + kWindow + kWindow / 2);
  const auto& arrivals = limited.ledger().arrivals;
  cr_assert_leq(MaxInWindow(arrivals, started + kInformedWithin), kMaxInWindow);
  // The upstream still gets a part of the requests.
  const auto served = std::count_if(
      arrivals.begin(), arrivals.end(),
      [started](Time arrival) { return arrival >= started + kInformedWithin; });
  cr_assert_geq(served, 4);
}

bool HasLimit(TestCluster& cluster,
              std::size_t host,
              const std::string& upstream) {
  return cluster.host(host)
      .state()
      .upstream_statements.limited_upstreams()
      .contains(upstream);
}

// Guards against hosts that receive the limit and its end only in answers to
// their own requests: hosts that send nothing to the upstream would receive
// neither.
Test(limited_upstream, hosts_without_answers_receive_the_limit_and_its_end) {
  TestClusterPlan plan = MakePlan();
  plan.upstreams_in_domain = 1;
  TestCluster cluster(plan);
  cluster.StartAll();
  UpstreamStandIn& limited = cluster.upstream(0);
  limited.SetLimitHeader("3");
  int next = 0;
  const auto query_first_host_until = [&](const std::function<bool()>& done) {
    while (!done()) {
      cluster.Get(0, "r" + std::to_string(next++));
    }
  };
  const auto all_have_limit = [&](bool expected) {
    for (std::size_t host = 0; host < kHosts; ++host) {
      if (HasLimit(cluster, host, limited.id()) != expected) {
        return false;
      }
    }
    return true;
  };
  query_first_host_until([&] { return all_have_limit(true); });
  cr_assert(cluster.HasEvent(kHosts - 1, EventCode::kUpstreamLimited));
  const std::string shown =
      cluster.RunCommand(0, "show upstreams").response.body.str();
  cr_assert(shown.find("takes 3 requests a second") != std::string::npos);
  limited.SetLimitHeader("");
  query_first_host_until([&] { return all_have_limit(false); });
  cr_assert(cluster.HasEvent(kHosts - 1, EventCode::kUpstreamLimitEnded));
}

// Guards against an invalid limit that stops all requests or is logged with
// each answer.
Test(limited_upstream, unreadable_limit_is_logged_once_and_ignored) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1};
  TestCluster cluster(plan);
  cluster.StartAll();
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.SetLimitHeader("-1"); });
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(cluster.Get(0, "r" + std::to_string(i)).response.status,
                 http_status::kOk);
  }
  int logged = 0;
  for (const Event& event : cluster.host(0).state().events.Snapshot()) {
    logged += event.code == EventCode::kUpstreamLimitUnreadable ? 1 : 0;
  }
  cr_assert_geq(logged, 1);
  cr_assert_leq(logged, static_cast<int>(cluster.upstream_count()));
}

// Guards against requests that wait, or exceed the limits, when all upstreams
// report a limit.
Test(limited_upstream, beyond_all_limits_requests_are_refused_at_once) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1};
  TestCluster cluster(plan);
  cluster.StartAll();
  cluster.ForEachUpstream([](UpstreamStandIn& u) { u.SetLimitHeader("1"); });
  int refused = 0;
  for (int i = 0; i < 50; ++i) {
    const CallResult result = cluster.Get(0, "r" + std::to_string(i));
    if (result.response.status == http_status::kUnavailable) {
      ++refused;
      cr_assert(FindHeader(result.response.headers, "Retry-After").has_value());
      cr_assert_eq(cluster.RunsOf("r" + std::to_string(i)), 0);
    }
  }
  cr_assert_geq(refused, 20);
}

}  // namespace
}  // namespace pathcleat
