// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Tests of the retry delays that the picker gives to refused requests.

#include "pathcleat/routing/admission_control.hpp"

#include <algorithm>
#include <vector>

#include "pathcleat/routing/upstream_picker.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(1'000'000)};
constexpr Duration kDeadline{3'000'000};

// One host with one upstream in its region.
class RetryFixture {
 public:
  RetryFixture()
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

// Guards against callers that are told to retry a cold upstream at the latest
// useful time instead of at its rate. Fails without the rate-bounded branch of
// AvailabilityOf.
Test(admission_control, cold_upstream_is_retried_at_its_rate) {
  RetryFixture fixture;
  fixture.TurnCold(5);
  cr_assert(fixture.Choose(kStart).upstream != nullptr);
  fixture.upstream().rate_share.TryAcquire(kStart);
  std::vector<Duration> delays;
  for (int i = 0; i < 3; ++i) {
    const Pick refused = fixture.Choose(kStart);
    cr_assert(refused.failure == PickFailure::kNoUpstream);
    delays.push_back(refused.retry_after);
  }
  std::sort(delays.begin(), delays.end());
  // The upstream accepts the next request after 0.2 s, then one every 0.2 s.
  constexpr Duration kPeriod{200'000};
  cr_assert_geq(delays[0], kPeriod);
  cr_assert_geq(delays[1] - delays[0], kPeriod);
  cr_assert_geq(delays[2] - delays[1], kPeriod);
  cr_assert_leq(delays[2], kDeadline / 3);
}

// Guards against callers that are all told to retry when one rate-bounded
// upstream accepts requests, although other upstreams accept some too.
Test(admission_control,
     retries_are_spaced_by_the_rate_of_all_bounded_upstreams) {
  RetryFixture fixture;
  fixture.route().target_latency = Duration(2'000'000);
  fixture.TurnCold(5);
  UpstreamInfo other = fixture.upstream().info;
  other.id = "n1";
  fixture.table().Put(other, kStart);
  for (const UpstreamPtr& upstream : fixture.table().All()) {
    upstream->rate_share.SetRate(5, kStart);
    upstream->rate_share.TryAcquire(kStart);
  }
  std::vector<Duration> delays;
  for (int i = 0; i < 3; ++i) {
    delays.push_back(fixture.Choose(kStart).retry_after);
  }
  std::sort(delays.begin(), delays.end());
  // Each upstream accepts a request every 0.2 s, both together every 0.1 s.
  constexpr Duration kSpacing{100'000};
  cr_assert_eq(delays[1] - delays[0], kSpacing);
  cr_assert_eq(delays[2] - delays[1], kSpacing);
}

// Fails without RetryTime in AvailabilityOf.
Test(admission_control, failed_upstream_is_retried_at_its_retry_time) {
  RetryFixture fixture;
  fixture.route().target_latency = Duration(2'000'000);
  fixture.upstream().health.OnFailure(kStart);
  fixture.upstream().health.OnFailure(kStart);
  const Pick refused = fixture.Choose(kStart);
  cr_assert(refused.failure == PickFailure::kNoUpstream);
  cr_assert(kStart + refused.retry_after ==
            *fixture.upstream().health.RetryTime());
  cr_assert(fixture.Choose(kStart + refused.retry_after).upstream != nullptr);
}

Test(admission_control,
     without_an_estimate_the_latest_useful_retry_time_is_given) {
  RetryFixture fixture;
  fixture.table().Remove("n0");
  const Pick refused = fixture.Choose(kStart);
  cr_assert(refused.failure == PickFailure::kNoUpstream);
  cr_assert(refused.retry_after == kDeadline / 3);
  cr_assert(fixture.Choose(kStart).retry_after < refused.retry_after);
}

// Fails with window.latest = request.time_left in RetryDelayForQueue.
Test(admission_control, retry_delay_is_never_longer_than_the_caller_can_use) {
  cr_assert(Holds("delay <= a third of the deadline, for any queue", [] {
    RetryFixture fixture;
    const int queue = *rc::gen::inRange(0, 60);
    for (int i = 0; i < queue; ++i) {
      fixture.upstream().load.OnSent();
    }
    for (int i = 0; i < 20; ++i) {
      const Duration deadline(*rc::gen::inRange(0, 6'000'000));
      const Pick pick = fixture.Choose(kStart, deadline);
      RC_ASSERT(pick.upstream || pick.retry_after * 3 <= deadline);
    }
  }));
}

// Fails with Reserve replaced by window.earliest in RetryDelayForQueue.
Test(admission_control, requests_refused_for_a_queue_retry_at_different_times) {
  RetryFixture fixture;
  constexpr int kQueue = 12;
  for (int i = 0; i < kQueue; ++i) {
    fixture.upstream().load.OnSent();
  }
  std::vector<Duration> delays;
  for (int i = 0; i < 6; ++i) {
    const Pick refused = fixture.Choose(kStart);
    cr_assert(refused.failure == PickFailure::kOverloaded);
    delays.push_back(refused.retry_after);
  }
  std::sort(delays.begin(), delays.end());
  for (std::size_t i = 1; i < delays.size(); ++i) {
    cr_assert_gt(delays[i] - delays[i - 1], Duration(20'000));
  }
}

}  // namespace
}  // namespace pathcleat
