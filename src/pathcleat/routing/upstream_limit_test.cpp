// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/upstream_limit.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{std::chrono::hours(1)};
constexpr Duration kSecond{1'000'000};

LimitObservation WithLimit(double per_second, Time at) {
  return {per_second, at, "host", "domain"};
}

LimitObservation WithoutLimit(Time sent_at) {
  return {std::nullopt, sent_at, "host", "domain"};
}

UpstreamLimit LimitedTo(double per_second) {
  UpstreamLimit limit;
  limit.SetCapacity(60);
  limit.Update(WithLimit(per_second, kStart));
  return limit;
}

Test(upstream_limit, applies_as_stated_until_a_later_answer_ends_it) {
  UpstreamLimit limit = LimitedTo(2);
  cr_assert(limit.IsInForce(kStart));
  cr_assert_float_eq(limit.PerSecond(kStart + kSecond), 2, 1e-9);
  cr_assert(limit.Update(WithoutLimit(kStart + 2 * kSecond)));
  cr_assert_not(limit.IsInForce(kStart + 2 * kSecond));
}

// Guards against an answer that was in flight when the limit was first stated.
Test(upstream_limit, answer_to_an_earlier_request_does_not_end_it) {
  UpstreamLimit limit = LimitedTo(2);
  cr_assert_not(limit.Update(WithoutLimit(kStart - kSecond)));
  cr_assert_not(limit.Update(WithoutLimit(kStart)));
  cr_assert(limit.IsInForce(kStart));
}

// Guards against hosts that revert each other's newer observations.
Test(upstream_limit, older_observations_change_nothing) {
  UpstreamLimit limit = LimitedTo(2);
  cr_assert_not(limit.Update(WithLimit(7, kStart - kSecond)));
  limit.Update(WithoutLimit(kStart + 2 * kSecond));
  cr_assert_not(limit.Update(WithLimit(2, kStart + kSecond)));
  cr_assert_not(limit.IsInForce(kStart + 2 * kSecond));
}

// Guards against a limit that applies for ever because no host sends requests
// that would show its end: the permitted rate doubles step by step.
Test(upstream_limit, without_answers_it_doubles_step_by_step) {
  const UpstreamLimit limit = LimitedTo(2);
  cr_assert_float_eq(limit.PerSecond(kStart + 10 * kSecond), 2, 1e-9);
  cr_assert_float_eq(limit.PerSecond(kStart + 15 * kSecond), 4, 1e-9);
  cr_assert_float_eq(limit.PerSecond(kStart + 20 * kSecond), 8, 1e-9);
  cr_assert(limit.IsInForce(kStart + 30 * kSecond));
  cr_assert_not(limit.IsInForce(kStart + 60 * kSecond));
}

Test(upstream_limit, above_the_capacity_has_no_effect) {
  const UpstreamLimit limit = LimitedTo(1'000);
  cr_assert_not(limit.IsInForce(kStart));
}

// Guards against an upstream with a limit of 0 that never gets a request again.
Test(upstream_limit, of_zero_still_permits_occasional_requests) {
  const UpstreamLimit limit = LimitedTo(0);
  cr_assert(limit.IsInForce(kStart));
  cr_assert_gt(limit.PerSecond(kStart), 0);
  cr_assert_leq(limit.PerSecond(kStart), 0.1);
}

Test(upstream_limit, is_probed_when_it_was_not_confirmed) {
  UpstreamLimit limit = LimitedTo(2);
  cr_assert_not(limit.ShouldProbe(kStart + kSecond));
  cr_assert(limit.ShouldProbe(kStart + 4 * kSecond));
  limit.Update(WithLimit(2, kStart + 4 * kSecond));
  cr_assert_not(limit.ShouldProbe(kStart + 5 * kSecond));
}

// Guards against unlimited sending after each answer from which an upstream
// omits the limit field.
Test(upstream_limit, applies_while_only_some_answers_state_it) {
  UpstreamLimit limit = LimitedTo(2);
  for (int i = 1; i <= 10; ++i) {
    const Time at = kStart + i * kSecond;
    limit.Update(WithoutLimit(at - kSecond / 2));
    cr_assert(limit.IsInForce(at));
    limit.Update(WithLimit(2, at));
  }
}

}  // namespace
}  // namespace pathcleat
