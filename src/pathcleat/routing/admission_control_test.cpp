// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// When refused requests are told to come back, as the picker tells it.

#include "pathcleat/routing/admission_control.hpp"

#include <algorithm>
#include <vector>

#include "pathcleat/routing/upstream_picker.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(1'000'000)};
constexpr Duration kDeadline{3'000'000};

// One upstream of one region, and one host's view of it.
class ReturnWorld {
 public:
  ReturnWorld()
      : table_(std::map<std::string, std::string>{{"n", "north"}}),
        picker_(Settings(), table_) {
    route_.name = "route";
    route_.target_latency = Duration(400'000);
    info_.id = "n0";
    info_.service = "service";
    info_.domain = "n";
    info_.slots = 3;
    table_.Put(info_, kStart);
  }

  static PickerSettings Settings() {
    PickerSettings settings;
    settings.region = "north";
    settings.domain = "n";
    return settings;
  }

  PickRequest Request(Duration deadline = kDeadline) const {
    PickRequest request;
    request.route = &route_;
    request.service = "service";
    request.caller_timeout = deadline;
    request.time_left = std::min(deadline, route_.timeout);
    return request;
  }

  Pick Choose(Time now, Duration deadline = kDeadline) {
    return picker_.Choose(Request(deadline), now);
  }

  void TurnCold(double per_second) {
    info_.cold_remaining = Duration(60'000'000);
    table_.Put(info_, kStart);
    upstream().rate_share.SetRate(per_second, kStart);
  }

  UpstreamState& upstream() { return *table_.All().front(); }
  UpstreamTable& table() { return table_; }
  Route& route() { return route_; }
  UpstreamPicker& picker() { return picker_; }

 private:
  UpstreamTable table_;
  UpstreamPicker picker_;
  Route route_;
  UpstreamInfo info_;
};

// Checked to fail with the branch of cold upstreams taken out of OpeningOf:
// both were told the last useful moment.
Test(admission_control, cold_upstream_is_returned_to_at_its_rate) {
  ReturnWorld world;
  world.TurnCold(5);
  cr_assert(world.Choose(kStart).upstream != nullptr);
  world.upstream().rate_share.TryAcquire(kStart);
  std::vector<Duration> told;
  for (int i = 0; i < 3; ++i) {
    const Pick refused = world.Choose(kStart);
    cr_assert(refused.failure == PickFailure::kNoUpstream);
    told.push_back(refused.retry_after);
  }
  std::sort(told.begin(), told.end());
  // The next is let through after 0.2 s, and one each 0.2 s after it.
  constexpr Duration kPeriod{200'000};
  cr_assert_geq(told[0], kPeriod);
  cr_assert_geq(told[1] - told[0], kPeriod);
  cr_assert_geq(told[2] - told[1], kPeriod);
  cr_assert_leq(told[2], kDeadline / 3);
}

// Guards against callers that are all told to come back to one upstream of
// bounded rate while others open as well.
Test(admission_control, returns_are_spaced_by_all_bounded_upstreams) {
  ReturnWorld world;
  world.route().target_latency = Duration(2'000'000);
  world.TurnCold(5);
  UpstreamInfo other = world.upstream().info;
  other.id = "n1";
  world.table().Put(other, kStart);
  for (const UpstreamPtr& upstream : world.table().All()) {
    upstream->rate_share.SetRate(5, kStart);
    upstream->rate_share.TryAcquire(kStart);
  }
  std::vector<Duration> told;
  for (int i = 0; i < 3; ++i) {
    told.push_back(world.Choose(kStart).retry_after);
  }
  std::sort(told.begin(), told.end());
  // Each lets one through every 0.2 s, so together every 0.1 s.
  constexpr Duration kApart{100'000};
  cr_assert_eq(told[1] - told[0], kApart);
  cr_assert_eq(told[2] - told[1], kApart);
}

// Checked to fail with RetryTime taken out of OpeningOf.
Test(admission_control, failed_upstream_is_returned_to_when_it_is_tried) {
  ReturnWorld world;
  world.route().target_latency = Duration(2'000'000);
  world.upstream().health.OnFailure(kStart);
  world.upstream().health.OnFailure(kStart);
  const Pick refused = world.Choose(kStart);
  cr_assert(refused.failure == PickFailure::kNoUpstream);
  cr_assert(kStart + refused.retry_after ==
            *world.upstream().health.RetryTime());
  cr_assert(world.Choose(kStart + refused.retry_after).upstream != nullptr);
}

Test(admission_control, where_nothing_is_known_it_is_the_last_useful_moment) {
  ReturnWorld world;
  world.table().Remove("n0");
  const Pick refused = world.Choose(kStart);
  cr_assert(refused.failure == PickFailure::kNoUpstream);
  cr_assert(refused.retry_after == kDeadline / 3);
  cr_assert(world.Choose(kStart).retry_after < refused.retry_after);
}

// Checked to fail with window.latest = request.time_left in RetryDelayForQueue.
Test(admission_control, nobody_is_told_what_it_cannot_use) {
  cr_assert(Holds("told <= a third of the deadline, for any queue", [] {
    ReturnWorld world;
    const int queue = *rc::gen::inRange(0, 60);
    for (int i = 0; i < queue; ++i) {
      world.upstream().load.OnSent();
    }
    for (int i = 0; i < 20; ++i) {
      const Duration deadline(*rc::gen::inRange(0, 6'000'000));
      const Pick pick = world.Choose(kStart, deadline);
      RC_ASSERT(pick.upstream || pick.retry_after * 3 <= deadline);
    }
  }));
}

// Checked to fail with Book replaced by its window's room in
// RetryDelayForQueue.
Test(admission_control, those_refused_for_a_queue_come_one_by_one) {
  ReturnWorld world;
  constexpr int kQueue = 12;
  for (int i = 0; i < kQueue; ++i) {
    world.upstream().load.OnSent();
  }
  std::vector<Duration> told;
  for (int i = 0; i < 6; ++i) {
    const Pick refused = world.Choose(kStart);
    cr_assert(refused.failure == PickFailure::kOverloaded);
    told.push_back(refused.retry_after);
  }
  std::sort(told.begin(), told.end());
  for (std::size_t i = 1; i < told.size(); ++i) {
    cr_assert_gt(told[i] - told[i - 1], Duration(20'000));
  }
}

}  // namespace
}  // namespace pathcleat
