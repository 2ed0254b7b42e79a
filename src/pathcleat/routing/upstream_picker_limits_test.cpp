// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The choice among upstreams of which some state a limit, reject requests or
// answer with errors.

#include <algorithm>
#include <chrono>
#include <set>

#include "pathcleat/core/hash.hpp"
#include "picker_fixture.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

void SetLimit(PickerFixture& fixture,
              const UpstreamPtr& upstream,
              double limit) {
  fixture.table().UpdateLimit(upstream, {limit, kStart, "host", "n"}, kStart);
  upstream->rate_share.SetRate(limit, kStart);
}

// Share of many keys whose upstream is in the host's own region.
double LocalShare(PickerFixture& fixture, Time now) {
  constexpr int kKeys = 400;
  int local = 0;
  for (std::uint64_t key = 1; key <= kKeys; ++key) {
    const Pick pick = fixture.Choose(MixHashes(key, 1), now);
    local += pick.upstream && !pick.leaves_region ? 1 : 0;
  }
  return local / static_cast<double>(kKeys);
}

// Guards against a limited upstream that gets as many requests as its queue can
// hold.
Test(upstream_picker, limited_upstream_gets_no_more_than_its_share) {
  PickerFixture fixture(1);
  for (const UpstreamPtr& upstream : fixture.table().All()) {
    SetLimit(fixture, upstream, 2);
  }
  int sent = 0;
  for (int ms = 0; ms < 5'000; ms += 10) {
    const Time now = kStart + Duration(ms * 1'000);
    const Pick pick = fixture.Choose(7, now);
    if (pick.upstream) {
      pick.upstream->rate_share.TryAcquire(now);
      ++sent;
    } else {
      cr_assert_gt(pick.passed_over, 0);
    }
  }
  // Two upstreams, each with 2 requests per second for 5 s and a burst of 1
  // request.
  cr_assert_leq(sent, 22);
  cr_assert_geq(sent, 15);
}

// Guards against requests that wait for a limited upstream without capacity:
// they are refused at once, with retry delays spaced by its rate.
Test(upstream_picker, requests_refused_for_limits_retry_at_the_limited_rate) {
  PickerFixture fixture(1);
  for (const UpstreamPtr& upstream : fixture.table().All()) {
    SetLimit(fixture, upstream, 2);
    upstream->rate_share.TryAcquire(kStart);
  }
  const Pick first = fixture.Choose(7);
  const Pick second = fixture.Choose(8);
  cr_assert(first.failure == PickFailure::kNoUpstream);
  cr_assert_geq(std::min(first.retry_after, second.retry_after),
                Duration(500'000));
  cr_assert_geq(std::chrono::abs(second.retry_after - first.retry_after),
                Duration(100'000));
}

// Guards against a region whose share of keys still counts all slots of its
// limited upstreams: its keys wait while the other region has free slots.
Test(upstream_picker, keys_leave_a_region_whose_upstreams_are_limited) {
  PickerFixture fixture;
  fixture.picker().SetHostCounts({{"north", 1}, {"south", 1}});
  const double before = LocalShare(fixture, kStart);
  for (const UpstreamPtr& upstream : fixture.table().All()) {
    if (upstream->region == "north") {
      SetLimit(fixture, upstream, 1);
    }
  }
  // Refills the token buckets, so that only the shares decide.
  for (const UpstreamPtr& upstream : fixture.table().All()) {
    upstream->rate_share = TokenBucket(1'000, 1'000);
  }
  const double after = LocalShare(fixture, kStart + Duration(500'000));
  cr_assert_gt(before, 0.7);
  cr_assert_lt(after, before - 0.2);
}

// Guards against shifts that advance by slots that limits make unusable.
Test(upstream_picker, headroom_counts_only_usable_slots_of_limited_upstreams) {
  PickerFixture fixture(1);
  fixture.Choose(7);
  const UpstreamPtr upstream = fixture.table().Find("s0");
  upstream->load.OnSent();
  const double before =
      fixture.picker().TargetStateOf("service", "south", kStart).headroom;
  SetLimit(fixture, upstream, 1);
  const double after =
      fixture.picker().TargetStateOf("service", "south", kStart).headroom;
  cr_assert_gt(before, 0.6);
  cr_assert_lt(after, 0.1);
}

// Guards against limits that stay in force too long: if keys rarely select the
// upstream, no answer shows that its limit has ended. Requests that may run
// only once are not used as probes.
Test(upstream_picker, limited_upstream_without_recent_answer_is_probed) {
  PickerFixture fixture;
  const UpstreamPtr limited = fixture.table().Find("s3");
  SetLimit(fixture, limited, 2);
  const Time later = kStart + Duration(4'000'000);
  std::uint64_t key = 1;
  while (fixture.Choose(key, kStart).upstream == limited) {
    ++key;
  }
  cr_assert(fixture.Choose(key, later).upstream != limited);
  fixture.route().repeatable = true;
  cr_assert(fixture.Choose(key, kStart).upstream != limited);
  cr_assert(fixture.Choose(key, later).upstream == limited);
}

// Guards against a fast error that draws requests: upstreams that reject or
// answer with an error at once got four fifths of all attempts, as their slots
// were always free. The other upstreams are loaded to two thirds.
Test(upstream_picker, fast_errors_attract_no_requests) {
  PickerFixture fixture(3);
  const UpstreamPtr failing = fixture.table().Find("n0");
  for (const UpstreamPtr& upstream : fixture.table().All()) {
    if (upstream != failing) {
      upstream->load.OnReport({2, 0, 3}, kStart);
    }
  }
  int to_failing = 0;
  constexpr int kRequests = 300;
  for (int i = 0; i < kRequests; ++i) {
    const Time now = kStart + Duration(i * 10'000);
    for (const UpstreamPtr& upstream : fixture.table().All()) {
      upstream->load.OnReport({upstream == failing ? 0 : 2, 0, 3}, now);
    }
    const Pick pick =
        fixture.Choose(MixHashes(static_cast<std::uint64_t>(i), 1), now);
    if (pick.upstream) {
      fixture.picker().OnOutcome(*pick.upstream, pick.upstream == failing, now);
      to_failing += pick.upstream == failing ? 1 : 0;
    }
  }
  cr_assert_lt(to_failing, kRequests / 6);
  cr_assert_gt(to_failing, 0);
}

// Guards against shifts that advance by slots of upstreams that want no
// requests.
Test(upstream_picker, headroom_counts_no_slots_of_upstreams_in_backoff) {
  PickerFixture fixture(1);
  fixture.Choose(7);
  const UpstreamPtr upstream = fixture.table().Find("s0");
  fixture.table().StartBackoff(upstream, Duration(1'000'000), 0, kStart);
  const ShiftTargetState state =
      fixture.picker().TargetStateOf("service", "south", kStart);
  cr_assert_float_eq(state.headroom, 0, 1e-9);
}

// Guards against a region whose share of keys still counts the slots of its
// upstreams in backoff, and against keys that do not come back afterwards.
Test(upstream_picker, keys_leave_a_region_in_backoff_and_return) {
  PickerFixture fixture;
  fixture.picker().SetHostCounts({{"north", 1}, {"south", 1}});
  const double before = LocalShare(fixture, kStart);
  for (int i = 0; i < 4; ++i) {
    fixture.table().StartBackoff(fixture.table().Find("n" + std::to_string(i)),
                                 Duration(3'000'000), 0, kStart);
  }
  const double meanwhile = LocalShare(fixture, kStart + Duration(500'000));
  const Time after = kStart + Duration(4'000'000);
  cr_assert_eq(fixture.table().EndBackoffs(after).size(), 4U);
  const double afterwards = LocalShare(fixture, after);
  cr_assert_lt(meanwhile, before - 0.2);
  cr_assert_float_eq(afterwards, before, 1e-9);
}

// Guards against callers that all come back in the moment in which the first
// upstream takes requests again, or before.
Test(upstream_picker, requests_refused_for_backoffs_retry_spread_after_them) {
  PickerFixture fixture(1);
  fixture.picker().SetHostCounts({{"north", 3}, {"south", 3}});
  for (const UpstreamPtr& upstream : fixture.table().All()) {
    fixture.table().StartBackoff(upstream, Duration(300'000), 0, kStart);
  }
  std::set<Duration> delays;
  for (std::uint64_t key = 0; key < 8; ++key) {
    const Pick pick = fixture.Choose(key);
    cr_assert(pick.failure == PickFailure::kNoUpstream);
    cr_assert_eq(pick.passed_over, 2);
    delays.insert(pick.retry_after);
  }
  cr_assert_geq(*delays.begin(), Duration(300'000));
  cr_assert_eq(delays.size(), 8U);
}

}  // namespace
}  // namespace pathcleat
