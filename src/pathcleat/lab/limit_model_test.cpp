// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/limit_model.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

LimitModelPlan Sized(int hosts_in_domain, int upstreams) {
  LimitModelPlan plan;
  plan.hosts_in_domain = hosts_in_domain;
  plan.upstreams = upstreams;
  plan.limited_upstreams = upstreams / 3;
  plan.requests_per_second = 5.0 * upstreams;
  return plan;
}

// Guards against a bound that holds for hosts of a small fleet alone: a share
// with one request saved up at each host lets all of them send at once.
Test(limit_model, limits_hold_over_all_hosts_of_any_fleet) {
  for (const int hosts_in_domain : {2, 12, 50}) {
    for (const double limit : {0.5, 1.7, 10.0}) {
      LimitModelPlan plan = Sized(hosts_in_domain, 24);
      plan.limit_per_second = limit;
      const LimitModelResult result = RunLimitModel(plan);
      cr_assert_leq(result.max_window_ratio, 1.0);
    }
  }
}

// Guards against a share that nobody uses: few hosts send, and others must
// leave them the work.
Test(limit_model, limits_are_used) {
  LimitModelPlan plan = Sized(2, 24);
  plan.limited_upstreams = 24;
  const LimitModelResult result = RunLimitModel(plan);
  cr_assert_geq(result.used_share, 0.8);
  cr_assert_leq(result.max_window_ratio, 1.0);
}

// Guards against limits that outlive the need where only few hosts hear of its
// end.
Test(limit_model, end_of_need_is_known_to_all_hosts_soon) {
  for (const int hosts_in_domain : {2, 50}) {
    const LimitModelResult result = RunLimitModel(Sized(hosts_in_domain, 24));
    cr_assert_leq(result.end_delay_seconds, 10.0);
  }
}

Test(limit_model, limits_hold_while_hosts_start_again) {
  LimitModelPlan plan = Sized(12, 24);
  plan.restart_one_in = 3;
  cr_assert_leq(RunLimitModel(plan).max_informed_window_ratio, 1.0);
}

// Guards against two parts of a fleet that each take a limit whole.
Test(limit_model, limits_hold_while_the_fleet_is_cut_in_halves) {
  for (const int hosts_in_domain : {2, 13}) {
    LimitModelPlan plan = Sized(hosts_in_domain, 24);
    plan.partition_from = Duration(10'000'000);
    cr_assert_leq(RunLimitModel(plan).max_window_ratio, 1.0);
  }
}

// Checked to tell the ways apart: each fails what the few senders keep.
Test(limit_model, other_ways_break_the_bound) {
  LimitModelPlan plan = Sized(50, 24);
  plan.strategy = LimitStrategy::kNone;
  cr_assert_gt(RunLimitModel(plan).max_window_ratio, 1.0);
  plan.strategy = LimitStrategy::kEqualShare;
  cr_assert_gt(RunLimitModel(plan).max_window_ratio, 1.0);
}

}  // namespace
}  // namespace pathcleat
