// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/limit_model.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

LimitModelPlan MakePlan(int hosts_in_domain, int upstreams) {
  LimitModelPlan plan;
  plan.hosts_in_domain = hosts_in_domain;
  plan.upstreams = upstreams;
  plan.limited_upstreams = upstreams / 3;
  plan.requests_per_second = 5.0 * upstreams;
  return plan;
}

// Guards against limits that are kept in small fleets only: if each host may
// save one unused request for later, all hosts of a large fleet can send their
// saved requests at the same time.
Test(limit_model, limits_hold_over_all_hosts_of_any_fleet) {
  for (const int hosts_in_domain : {2, 12, 50}) {
    for (const double limit : {0.5, 1.7, 10.0}) {
      LimitModelPlan plan = MakePlan(hosts_in_domain, 24);
      plan.limit_per_second = limit;
      const LimitModelResult result = RunLimitModel(plan);
      cr_assert_leq(result.max_window_ratio, 1.0);
    }
  }
}

// Guards against unused limits: only a few hosts send to a limited upstream,
// and the other hosts must leave the requests to this upstream to these few
// hosts.
Test(limit_model, limits_are_used) {
  LimitModelPlan plan = MakePlan(2, 24);
  plan.limited_upstreams = 24;
  const LimitModelResult result = RunLimitModel(plan);
  cr_assert_geq(result.used_share, 0.8);
  cr_assert_leq(result.max_window_ratio, 1.0);
}

// Guards against limits that stay in force after their end, when only a few
// hosts get answers from the upstream.
Test(limit_model, end_of_a_limit_reaches_all_hosts_in_time) {
  for (const int hosts_in_domain : {2, 50}) {
    const LimitModelResult result =
        RunLimitModel(MakePlan(hosts_in_domain, 24));
    cr_assert_leq(result.end_delay_seconds, 10.0);
  }
}

Test(limit_model, limits_hold_while_hosts_restart) {
  LimitModelPlan plan = MakePlan(12, 24);
  plan.restart_one_in = 3;
  cr_assert_leq(RunLimitModel(plan).max_informed_window_ratio, 1.0);
}

// Guards against both halves of a partitioned fleet using the whole limit.
Test(limit_model, limits_hold_while_the_fleet_is_partitioned) {
  for (const int hosts_in_domain : {2, 13}) {
    LimitModelPlan plan = MakePlan(hosts_in_domain, 24);
    plan.partition_from = Duration(10'000'000);
    cr_assert_leq(RunLimitModel(plan).max_window_ratio, 1.0);
  }
}

// Checks that the model distinguishes the strategies: kNone and kEqualShare
// exceed the bound that kFewSenders keeps.
Test(limit_model, other_strategies_exceed_the_bound) {
  LimitModelPlan plan = MakePlan(50, 24);
  plan.strategy = LimitStrategy::kNone;
  cr_assert_gt(RunLimitModel(plan).max_window_ratio, 1.0);
  plan.strategy = LimitStrategy::kEqualShare;
  cr_assert_gt(RunLimitModel(plan).max_window_ratio, 1.0);
}

}  // namespace
}  // namespace pathcleat
