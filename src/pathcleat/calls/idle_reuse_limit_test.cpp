// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/idle_reuse_limit.hpp"

#include <criterion/criterion.h>

namespace pathcleat {
namespace {

const Time kStart(std::chrono::seconds(1'000));
constexpr Duration kSecond{1'000'000};

Test(idle_reuse_limit, is_long_while_no_stale_connection_was_seen) {
  cr_assert_gt(IdleReuseLimit().MaxIdle(kStart), 10 * kSecond);
}

// Guards against losing several requests to one fault: upstreams drop
// connections after 0.15 s of idle time. A connection found stale after 0.2 s
// must stop the reuse of all connections that were idle for 0.15 s.
Test(idle_reuse_limit, falls_below_the_drop_time_after_one_stale_connection) {
  IdleReuseLimit limit;
  limit.OnStaleConnection(kSecond / 5, kStart);
  cr_assert_lt(limit.MaxIdle(kStart + kSecond / 2), kSecond * 3 / 20);
}

Test(idle_reuse_limit, falls_with_each_further_stale_connection) {
  IdleReuseLimit limit;
  limit.OnStaleConnection(4 * kSecond, kStart);
  const Duration first = limit.MaxIdle(kStart);
  limit.OnStaleConnection(first * 9 / 10, kStart);
  cr_assert_lt(limit.MaxIdle(kStart), first * 6 / 10);
}

Test(idle_reuse_limit, does_not_rise_with_a_longer_stale_idle_time) {
  IdleReuseLimit limit;
  limit.OnStaleConnection(kSecond / 10, kStart);
  const Duration before = limit.MaxIdle(kStart);
  limit.OnStaleConnection(5 * kSecond, kStart);
  cr_assert_leq(limit.MaxIdle(kStart), before);
}

Test(idle_reuse_limit, rises_again_without_further_stale_connections) {
  IdleReuseLimit limit;
  limit.OnStaleConnection(kSecond / 5, kStart);
  cr_assert_gt(limit.MaxIdle(kStart + 20 * kSecond), 4 * kSecond);
}

}  // namespace
}  // namespace pathcleat
