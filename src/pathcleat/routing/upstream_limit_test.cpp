// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/upstream_limit.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{std::chrono::hours(1)};
constexpr Duration kSecond{1'000'000};

LimitObservation Named(double per_second, Time at) {
  return {per_second, at, "host", "domain"};
}

LimitObservation NotNamed(Time sent) {
  return {std::nullopt, sent, "host", "domain"};
}

UpstreamLimit Limited(double per_second) {
  UpstreamLimit limit;
  limit.SetCapacity(60);
  limit.Update(Named(per_second, kStart));
  return limit;
}

Test(upstream_limit, holds_as_named_and_ends_by_a_later_answer) {
  UpstreamLimit limit = Limited(2);
  cr_assert(limit.IsInForce(kStart));
  cr_assert_float_eq(limit.PerSecond(kStart + kSecond), 2, 1e-9);
  cr_assert(limit.Update(NotNamed(kStart + 2 * kSecond)));
  cr_assert_not(limit.IsInForce(kStart + 2 * kSecond));
}

// Guards against an answer that was under way when the limit was first named.
Test(upstream_limit, answer_to_an_earlier_request_does_not_end_it) {
  UpstreamLimit limit = Limited(2);
  cr_assert_not(limit.Update(NotNamed(kStart - kSecond)));
  cr_assert_not(limit.Update(NotNamed(kStart)));
  cr_assert(limit.IsInForce(kStart));
}

// Guards against hosts that undo each other's news: the newest holds.
Test(upstream_limit, older_signs_from_others_change_nothing) {
  UpstreamLimit limit = Limited(2);
  cr_assert_not(limit.Update(Named(7, kStart - kSecond)));
  limit.Update(NotNamed(kStart + 2 * kSecond));
  cr_assert_not(limit.Update(Named(2, kStart + kSecond)));
  cr_assert_not(limit.IsInForce(kStart + 2 * kSecond));
}

// Guards against a limit that nobody asks about any more and that holds for
// ever: it is raised in steps.
Test(upstream_limit, without_answers_it_is_raised_step_by_step) {
  const UpstreamLimit limit = Limited(2);
  cr_assert_float_eq(limit.PerSecond(kStart + 10 * kSecond), 2, 1e-9);
  cr_assert_float_eq(limit.PerSecond(kStart + 15 * kSecond), 4, 1e-9);
  cr_assert_float_eq(limit.PerSecond(kStart + 20 * kSecond), 8, 1e-9);
  cr_assert(limit.IsInForce(kStart + 30 * kSecond));
  cr_assert_not(limit.IsInForce(kStart + 60 * kSecond));
}

Test(upstream_limit, beyond_what_the_upstream_can_do_is_no_news) {
  const UpstreamLimit limit = Limited(1'000);
  cr_assert_not(limit.IsInForce(kStart));
}

// Guards against an upstream that takes nothing and is never asked again.
Test(upstream_limit, of_nothing_is_tried_now_and_then) {
  const UpstreamLimit limit = Limited(0);
  cr_assert(limit.IsInForce(kStart));
  cr_assert_gt(limit.PerSecond(kStart), 0);
  cr_assert_leq(limit.PerSecond(kStart), 0.1);
}

Test(upstream_limit, is_asked_about_when_it_was_not_heard_of) {
  UpstreamLimit limit = Limited(2);
  cr_assert_not(limit.ShouldProbe(kStart + kSecond));
  cr_assert(limit.ShouldProbe(kStart + 4 * kSecond));
  limit.Update(Named(2, kStart + 4 * kSecond));
  cr_assert_not(limit.ShouldProbe(kStart + 5 * kSecond));
}

// Guards against an upstream that leaves the field out of some answers, and is
// sent to without a bound after each of these.
Test(upstream_limit, holds_where_only_some_answers_name_it) {
  UpstreamLimit limit = Limited(2);
  for (int i = 1; i <= 10; ++i) {
    const Time at = kStart + i * kSecond;
    limit.Update(NotNamed(at - kSecond / 2));
    cr_assert(limit.IsInForce(at));
    limit.Update(Named(2, at));
  }
}

}  // namespace
}  // namespace pathcleat
