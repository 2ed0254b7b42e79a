// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/watch_model.hpp"

#include <algorithm>

#include "property.hpp"

namespace pathcleat {
namespace {

// The strictest time in which hosts must apply a change.
constexpr Duration kApplyTimeout{2'000'000};

Duration RandomMilliseconds(int low, int high) {
  return std::chrono::milliseconds(*rc::gen::inRange(low, high));
}

// Silences at random moments, up to three in a row, each of which may be
// shorter or longer than any wait, a change before the first and one in each,
// of which the answers are lost.
WatchModelPlan RandomPlan() {
  WatchModelPlan plan;
  plan.domains = *rc::gen::inRange(1, 10);
  plan.watchers_in_domain = *rc::gen::inRange(1, 4);
  plan.cut_domains = *rc::gen::inRange(0, plan.domains + 1);
  plan.contact = RandomMilliseconds(3'000, 5'000);
  plan.seed = static_cast<std::uint64_t>(*rc::gen::inRange(1, 1'000'000));
  Duration at{20'000'000};
  plan.changes = {at};
  for (int silences = *rc::gen::inRange(1, 4); silences > 0; --silences) {
    const Duration from = at + RandomMilliseconds(0, 3'000);
    at = from + RandomMilliseconds(100, 6'000);
    plan.silences.push_back({from, at});
    plan.changes.push_back(from + (at - from) / 2);
  }
  plan.changes.push_back(at + plan.contact + RandomMilliseconds(0, 10'000));
  return plan;
}

// Guards against watches that a silent store took and that hosts trust for
// their full length. Fails with kLong and kGrowing.
Test(watch_model, changes_reach_all_hosts_in_time_after_any_silences) {
  cr_assert(Holds("a change after the contact time is in force in time", [] {
    const WatchModelPlan plan = RandomPlan();
    const auto delays = RunWatchModel(plan).apply_delays.back();
    RC_ASSERT(*std::max_element(delays.begin(), delays.end()) <= kApplyTimeout);
  }));
}

// Guards against calls to the store that grow with the number of hosts: the
// store bounds the calls of all hosts together.
Test(watch_model, return_of_the_store_keeps_within_its_limit_of_calls) {
  constexpr std::uint64_t kMaxCallsPerSecond = 2'000;
  constexpr std::uint64_t kTopics = 2;
  WatchModelPlan plan;
  plan.domains = 151;
  plan.watchers_in_domain = 1;
  plan.changes = {Duration(20'000'000)};
  plan.silences = {{Duration(20'200'000), Duration(24'700'000)}};
  plan.duration = Duration(40'000'000);
  cr_assert_leq(kTopics * RunWatchModel(plan).max_calls_per_second,
                kMaxCallsPerSecond);
}

}  // namespace
}  // namespace pathcleat
