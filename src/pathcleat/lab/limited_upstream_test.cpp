// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// An upstream that names, in its answers, how many requests a second it takes
// from all hosts together.

#include <algorithm>

#include "test_world.hpp"

namespace pathcleat {
namespace {

constexpr std::size_t kHosts = 4;
constexpr double kLimit = 2;
constexpr Duration kWindow{4'000'000};
// Of a window: one and a half times the limit, and five more.
constexpr double kMostInWindow = 1.5 * kLimit * 4 + 5;
constexpr Duration kToldWithin{1'000'000};

// Two failure domains with two hosts and two upstreams each.
TestWorldPlan Plan() {
  TestWorldPlan plan;
  plan.hosts_in_domain = {2, 2};
  return plan;
}

// Callers ask each host in turn for a while.
void Ask(TestWorld& world, Duration lasts) {
  const Time end = BootClock::now() + lasts;
  for (int i = 0; BootClock::now() < end; ++i) {
    world.Get(static_cast<std::size_t>(i) % kHosts, "r" + std::to_string(i));
  }
}

// The most arrivals in one window, of those after a time.
double MostInWindow(const std::vector<Time>& arrivals, Time after) {
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
  TestWorld world(Plan());
  world.StartAll();
  UpstreamStandIn& limited = world.upstream(0);
  limited.NameLimit("2.0");
  const Time begun = BootClock::now();
  Ask(world, kToldWithin + kWindow + kWindow / 2);
  const auto& arrivals = limited.ledger().arrivals;
  cr_assert_leq(MostInWindow(arrivals, begun + kToldWithin), kMostInWindow);
  // It still serves what it can.
  const auto served = std::count_if(
      arrivals.begin(), arrivals.end(),
      [begun](Time arrival) { return arrival >= begun + kToldWithin; });
  cr_assert_geq(served, 4);
}

}  // namespace
}  // namespace pathcleat
