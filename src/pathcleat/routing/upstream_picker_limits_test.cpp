// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The choice among upstreams of which some name a limit.

#include <algorithm>
#include <chrono>

#include "pathcleat/core/hash.hpp"
#include "picker_fixture.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

void NameLimit(PickerFixture& world,
               const UpstreamPtr& upstream,
               double limit) {
  world.table().UpdateLimit(upstream, {limit, kStart, "host", "n"}, kStart);
  upstream->rate_share.SetRate(limit, kStart);
}

// Guards against a limited upstream that gets what its queue has room for.
Test(upstream_picker, limited_upstream_gets_no_more_than_its_share) {
  PickerFixture world(1);
  for (const UpstreamPtr& upstream : world.table().All()) {
    NameLimit(world, upstream, 2);
  }
  int sent = 0;
  for (int ms = 0; ms < 5'000; ms += 10) {
    const Time now = kStart + Duration(ms * 1'000);
    const Pick pick = world.Choose(7, now);
    if (pick.upstream) {
      pick.upstream->rate_share.TryAcquire(now);
      ++sent;
    } else {
      cr_assert_gt(pick.passed_over, 0);
    }
  }
  // Two upstreams, two a second each, a burst of one each.
  cr_assert_leq(sent, 22);
  cr_assert_geq(sent, 15);
}

// Guards against requests that wait for a place that a limited upstream never
// has: they are refused at once, with times to come back that its rate bears.
Test(upstream_picker, refused_for_limits_come_back_at_their_rate) {
  PickerFixture world(1);
  for (const UpstreamPtr& upstream : world.table().All()) {
    NameLimit(world, upstream, 2);
    upstream->rate_share.TryAcquire(kStart);
  }
  const Pick first = world.Choose(7);
  const Pick second = world.Choose(8);
  cr_assert(first.failure == PickFailure::kNoUpstream);
  cr_assert_geq(std::min(first.retry_after, second.retry_after),
                Duration(500'000));
  cr_assert_geq(std::chrono::abs(second.retry_after - first.retry_after),
                Duration(100'000));
}

// Guards against a region that is still promised the room of its limited
// upstreams: its keys wait there while the other region has slots free.
Test(upstream_picker, keys_leave_a_region_whose_upstreams_are_limited) {
  const auto kept_near = [](PickerFixture& world, Time now) {
    constexpr int kKeys = 400;
    int near = 0;
    for (std::uint64_t key = 1; key <= kKeys; ++key) {
      const Pick pick = world.Choose(MixHashes(key, 1), now);
      near += pick.upstream && !pick.leaves_region ? 1 : 0;
    }
    return near / static_cast<double>(kKeys);
  };
  PickerFixture world;
  world.picker().SetHostCounts({{"north", 1}, {"south", 1}});
  const double before = kept_near(world, kStart);
  for (const UpstreamPtr& upstream : world.table().All()) {
    if (upstream->region == "north") {
      NameLimit(world, upstream, 1);
    }
  }
  // The shares, not the buckets, are asked here.
  for (const UpstreamPtr& upstream : world.table().All()) {
    upstream->rate_share = TokenBucket(1'000, 1'000);
  }
  const double after = kept_near(world, kStart + Duration(500'000));
  cr_assert_gt(before, 0.7);
  cr_assert_lt(after, before - 0.2);
}

// Guards against gates of shifts that open by slots that nobody may use.
Test(upstream_picker, headroom_counts_only_what_limited_upstreams_take) {
  PickerFixture world(1);
  world.Choose(7);
  const UpstreamPtr upstream = world.table().Find("s0");
  upstream->load.OnSent();
  const double before =
      world.picker().TargetStateOf("service", "south", kStart).headroom;
  NameLimit(world, upstream, 1);
  const double after =
      world.picker().TargetStateOf("service", "south", kStart).headroom;
  cr_assert_gt(before, 0.6);
  cr_assert_lt(after, 0.1);
}

// Guards against limits that outlive the need: where keys seldom lead to the
// upstream, no answer tells that it is over. Work that may run once only is not
// used for it.
Test(upstream_picker, limited_upstream_that_was_not_heard_of_is_asked) {
  PickerFixture world;
  const UpstreamPtr limited = world.table().Find("s3");
  NameLimit(world, limited, 2);
  const Time later = kStart + Duration(4'000'000);
  std::uint64_t key = 1;
  while (world.Choose(key, kStart).upstream == limited) {
    ++key;
  }
  cr_assert(world.Choose(key, later).upstream != limited);
  world.route().repeatable = true;
  cr_assert(world.Choose(key, kStart).upstream != limited);
  cr_assert(world.Choose(key, later).upstream == limited);
}

}  // namespace
}  // namespace pathcleat
