// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// An upstream that names, in its answers, how many requests a second it takes
// from all hosts together.

#include <algorithm>

#include "test_cluster.hpp"

namespace pathcleat {
namespace {

constexpr std::size_t kHosts = 4;
constexpr double kLimit = 2;
constexpr Duration kWindow{4'000'000};
// Of a window: one and a half times the limit, and five more.
constexpr double kMostInWindow = 1.5 * kLimit * 4 + 5;
constexpr Duration kToldWithin{1'000'000};

// Two failure domains with two hosts and two upstreams each.
TestClusterPlan Plan() {
  TestClusterPlan plan;
  plan.hosts_in_domain = {2, 2};
  return plan;
}

// Callers ask each host in turn for a while.
void Ask(TestCluster& world, Duration lasts) {
  const Time end = BootClock::now() + lasts;
  for (int i = 0; BootClock::now() < end; ++i) {
    world.Get(static_cast<std::size_t>(i) % kHosts, "r" + std::to_string(i));
  }
}

// The most arrivals in one window, of those after a time.
double MaxInWindow(const std::vector<Time>& arrivals, Time after) {
  std::ptrdiff_t most = 0;
  for (auto first = std::lower_bound(arrivals.begin(), arrivals.end(), after);
       first != arrivals.end(); ++first) {
    const auto end = std::lower_bound(first, arrivals.end(), *first + kWindow);
    most = std::max(most, end - first);
  }
  return static_cast<double>(most);
}

// Guards against hosts that send on as before to an upstream that names a
// limit: it got all that it would have got without.
Test(limited_upstream, gets_no_more_than_its_limit_from_all_hosts_together) {
  TestCluster world(Plan());
  world.StartAll();
  UpstreamStandIn& limited = world.upstream(0);
  limited.SetLimitHeader("2.0");
  const Time begun = BootClock::now();
  Ask(world, kToldWithin + kWindow + kWindow / 2);
  const auto& arrivals = limited.ledger().arrivals;
  cr_assert_leq(MaxInWindow(arrivals, begun + kToldWithin), kMostInWindow);
  // It still serves what it can.
  const auto served = std::count_if(
      arrivals.begin(), arrivals.end(),
      [begun](Time arrival) { return arrival >= begun + kToldWithin; });
  cr_assert_geq(served, 4);
}

bool Knows(TestCluster& world, std::size_t host, const std::string& upstream) {
  return world.host(host).state().upstream_limits.limited_upstreams().contains(
      upstream);
}

// Guards against hosts that learn of a limit, and of its end, by their own
// requests alone: those that are no senders send none.
Test(limited_upstream, hosts_that_get_no_answer_are_told_of_it_and_of_its_end) {
  TestClusterPlan plan = Plan();
  plan.upstreams_in_domain = 1;
  TestCluster world(plan);
  world.StartAll();
  UpstreamStandIn& limited = world.upstream(0);
  limited.SetLimitHeader("3");
  int next = 0;
  const auto ask_first_host_until = [&](const std::function<bool()>& done) {
    while (!done()) {
      world.Get(0, "r" + std::to_string(next++));
    }
  };
  const auto all_know = [&](bool known) {
    for (std::size_t host = 0; host < kHosts; ++host) {
      if (Knows(world, host, limited.id()) != known) {
        return false;
      }
    }
    return true;
  };
  ask_first_host_until([&] { return all_know(true); });
  cr_assert(world.HasEvent(kHosts - 1, EventCode::kUpstreamLimited));
  const std::string shown = world.RunCommand(0, "show upstreams").response.body;
  cr_assert(shown.find("takes 3 requests a second") != std::string::npos);
  limited.SetLimitHeader("");
  ask_first_host_until([&] { return all_know(false); });
  cr_assert(world.HasEvent(kHosts - 1, EventCode::kUpstreamLimitEnded));
}

// Guards against a limit that is none and stops all sending, or is logged with
// each answer.
Test(limited_upstream, unreadable_limit_is_told_once_and_binds_nothing) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1};
  TestCluster world(plan);
  world.StartAll();
  world.ForEachUpstream([](UpstreamStandIn& u) { u.SetLimitHeader("-1"); });
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(world.Get(0, "r" + std::to_string(i)).response.status,
                 http_status::kOk);
  }
  int told = 0;
  for (const Event& event : world.host(0).state().events.Snapshot()) {
    told += event.code == EventCode::kUpstreamLimitUnreadable ? 1 : 0;
  }
  cr_assert_geq(told, 1);
  cr_assert_leq(told, static_cast<int>(world.upstream_count()));
}

// Guards against requests that wait, or are sent all the same, where all
// upstreams have named how little they take.
Test(limited_upstream, beyond_all_limits_requests_are_refused_at_once) {
  TestClusterPlan plan;
  plan.hosts_in_domain = {1};
  TestCluster world(plan);
  world.StartAll();
  world.ForEachUpstream([](UpstreamStandIn& u) { u.SetLimitHeader("1"); });
  int refused = 0;
  for (int i = 0; i < 50; ++i) {
    const CallResult result = world.Get(0, "r" + std::to_string(i));
    if (result.response.status == http_status::kUnavailable) {
      ++refused;
      cr_assert(FindHeader(result.response.headers, "Retry-After").has_value());
      cr_assert_eq(world.RunsOf("r" + std::to_string(i)), 0);
    }
  }
  cr_assert_geq(refused, 20);
}

}  // namespace
}  // namespace pathcleat
