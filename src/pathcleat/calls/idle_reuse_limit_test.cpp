// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/idle_reuse_limit.hpp"

#include <criterion/criterion.h>

namespace pathcleat {
namespace {

const Time kStart(std::chrono::seconds(1'000));
constexpr Duration kSecond{1'000'000};

Test(rest_limit, any_rest_is_trusted_where_nothing_was_seen) {
  cr_assert_gt(IdleReuseLimit().MaxIdle(kStart), 10 * kSecond);
}

// Upstreams that forget after 0.15 s: one connection in use after 0.2 s of rest
// is gone, and from then on none is used that rested for 0.15 s.
Test(rest_limit, one_forgotten_connection_holds_the_others_back) {
  IdleReuseLimit limit;
  limit.OnStaleConnection(kSecond / 5, kStart);
  cr_assert_lt(limit.MaxIdle(kStart + kSecond / 2), kSecond * 3 / 20);
}

Test(rest_limit, each_one_more_shortens_what_is_trusted) {
  IdleReuseLimit limit;
  limit.OnStaleConnection(4 * kSecond, kStart);
  const Duration first = limit.MaxIdle(kStart);
  limit.OnStaleConnection(first * 9 / 10, kStart);
  cr_assert_lt(limit.MaxIdle(kStart), first * 6 / 10);
}

Test(rest_limit, longer_rest_does_not_lengthen_it) {
  IdleReuseLimit limit;
  limit.OnStaleConnection(kSecond / 10, kStart);
  const Duration before = limit.MaxIdle(kStart);
  limit.OnStaleConnection(5 * kSecond, kStart);
  cr_assert_leq(limit.MaxIdle(kStart), before);
}

Test(rest_limit, what_is_not_seen_again_is_forgotten) {
  IdleReuseLimit limit;
  limit.OnStaleConnection(kSecond / 5, kStart);
  cr_assert_gt(limit.MaxIdle(kStart + 20 * kSecond), 4 * kSecond);
}

}  // namespace
}  // namespace pathcleat
