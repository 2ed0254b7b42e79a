// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "rollout_model.hpp"

#include <cereal/types/string.hpp>

#include "pathcleat/core/binary_codec.hpp"
#include "pathcleat/rollouts/conditional_likelihood.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

// docs/design/rollouts.md holds the results of 200 seeds for each row.
constexpr std::uint64_t kSeeds = 12;
constexpr int kMaxBadResponses = 50;

struct Outcome {
  int completed = 0;
  int found_bad = 0;
  int most_bad_responses = 0;
};

Outcome RunSeeds(const ModelPlan& plan, std::uint64_t seeds = kSeeds) {
  Outcome outcome;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    VerdictJudge judge;
    const ModelResult result = RolloutModel(plan, seed, judge).Run();
    outcome.completed += result.completed ? 1 : 0;
    outcome.found_bad += result.found_bad ? 1 : 0;
    outcome.most_bad_responses =
        std::max(outcome.most_bad_responses, result.bad_responses);
  }
  return outcome;
}

void AssertCompleted(const ModelPlan& plan) {
  cr_assert_eq(RunSeeds(plan).completed, static_cast<int>(kSeeds));
}

ModelPlan SmallPlan() {
  ModelPlan plan;
  plan.hosts = 8;
  plan.rate = 190;
  plan.upstreams = 48;
  return plan;
}

// Guards against a good version that is rolled back for failures that both
// versions have on one route.
Test(rollout_model, route_that_fails_at_both_versions_does_no_harm) {
  ModelPlan plan;
  plan.both.failures = 0.15;
  plan.both.only_route = 1;
  AssertCompleted(plan);
}

// Guards against a good version that is rolled back for a burst of failures at
// both versions, or for failures that begin at both during the trial.
Test(rollout_model, burst_at_both_versions_does_no_harm) {
  ModelPlan burst;
  burst.both.failures = 0.3;
  burst.both.from = 5;
  burst.both.until = 7;
  AssertCompleted(burst);
  ModelPlan lasting;
  lasting.both.failures = 0.12;
  lasting.both.from = 5;
  AssertCompleted(lasting);
}

// Guards against a good version that is rolled back because few responses
// could prove it good.
Test(rollout_model, low_load_suffices) {
  AssertCompleted(SmallPlan());
}

// Guards against a good version that is rolled back because its keys are cold,
// a region is cut off, or hosts restart.
Test(rollout_model, disturbances_of_both_versions_do_no_harm) {
  ModelPlan cold;
  cold.popular_keys = 0;
  AssertCompleted(cold);
  ModelPlan cut;
  cut.cut_from = 3;
  AssertCompleted(cut);
  ModelPlan killed;
  killed.kill_at = 4;
  AssertCompleted(killed);
}

// Guards against a verdict of bad from the few bad upstreams that a small
// canary contains by chance. Fails if VersionVerdict::Judge requires neither
// IsSpreadOverUpstreams nor evidence divided by the dispersion.
Test(rollout_model, degraded_upstreams_are_not_taken_for_the_version) {
  ModelPlan plan;
  plan.degraded = 0.1;
  plan.upstreams = 48;
  plan.run = 0.03;
  constexpr std::uint64_t kManySeeds = 40;
  cr_assert_eq(RunSeeds(plan, kManySeeds).found_bad, 0);
}

void AssertRolledBack(const ModelPlan& plan, int max_bad_responses) {
  const Outcome outcome = RunSeeds(plan);
  cr_assert_eq(outcome.completed, 0);
  cr_assert_leq(outcome.most_bad_responses, max_bad_responses);
}

// Guards against the completion of a version that fails, and against more bad
// responses than the users' limit.
Test(rollout_model, failing_version_is_rolled_back) {
  for (const double share : {0.05, 0.12, 0.35, 1.0}) {
    ModelPlan plan;
    plan.new_version.failures = share;
    AssertRolledBack(plan, kMaxBadResponses);
    plan.new_version.from = share < 0.1 ? 0 : 4;
    AssertRolledBack(plan, kMaxBadResponses);
  }
  ModelPlan small = SmallPlan();
  small.new_version.failures = 0.12;
  AssertRolledBack(small, kMaxBadResponses);
  ModelPlan one_route;
  one_route.new_version.failures = 1;
  one_route.new_version.only_route = 0;
  AssertRolledBack(one_route, kMaxBadResponses);
}

// Guards against the completion of a slower version, also one that is slower
// for warm keys only, which stays faster than a usual run with a cold key.
// Fails without CanaryKeys: too few responses of the new version have keys that
// are known to be warm.
Test(rollout_model, slower_version_is_rolled_back) {
  for (const double factor : {2.0, 3.0, 8.0}) {
    for (const bool warm_only : {false, true}) {
      ModelPlan plan;
      plan.new_version.slowdown = factor;
      plan.new_version.warm_only = warm_only;
      cr_assert_eq(RunSeeds(plan).completed, 0);
      plan.hosts = SmallPlan().hosts;
      plan.rate = SmallPlan().rate;
      plan.upstreams = SmallPlan().upstreams;
      cr_assert_eq(RunSeeds(plan).completed, 0);
    }
  }
}

VersionResponse FailedResponseOf(std::uint64_t upstream) {
  VersionResponse response;
  response.version = "v2";
  response.upstream = upstream;
  response.failed = true;
  return response;
}

// Guards against further requests to a version that this host has found bad
// while the decision cannot be stored: the phase stays kRunning. Fails without
// the check of IsBad in Rollout::RuleFor or in IsVersionAllowed.
Test(rollout, host_stops_trial_before_the_decision_is_stored) {
  constexpr int kResponses = 400;
  constexpr int kFailures = 16;
  Rollout rollout({"s", "v2", Duration(12'000'000), 1},
                  RolloutBounds{0.1, 50, Duration(5'000'000)}, 1);
  RolloutState state;
  state.order_id = 1;
  state.version = "v2";
  rollout.SetState(state);
  rollout.SetLocalState({"v1", "v2"}, 0);
  VersionResponse good;
  good.version = "v1";
  for (int i = 0; i < kResponses; ++i) {
    rollout.OnSent("v1");
    rollout.OnAnswer(good);
  }
  cr_assert(rollout.RuleFor(true)->Allows("v2"));
  cr_assert(rollout.IsVersionAllowed("v2"));
  for (int i = 0; i < kFailures; ++i) {
    rollout.OnAnswer(FailedResponseOf(static_cast<std::uint64_t>(i)));
  }
  rollout.Evaluate(Time(Duration(1'000'000)));
  cr_assert(rollout.verdict().IsBad());
  cr_assert_not(rollout.RuleFor(true)->Allows("v2"));
  cr_assert_not(rollout.IsVersionAllowed("v2"));
  cr_assert(rollout.IsVersionAllowed("v1"));
}

// The ratio of one failed response among one new and nine other responses: the
// odds ratio over its mean under equal odds.
Test(rollout, conditional_likelihood_matches_a_small_case) {
  constexpr double kOdds = 12;
  StratumCounts stratum{{1, 1}, {9, 0}};
  const double mean = (kOdds + 9) / 10;
  cr_assert_float_eq(LogConditionalRatio(stratum, kOdds),
                     std::log(kOdds / mean), 1e-9);
  stratum = {{1, 0}, {9, 1}};
  cr_assert_float_eq(LogConditionalRatio(stratum, kOdds), -std::log(mean),
                     1e-9);
  stratum = {{5, 3}, {0, 0}};
  cr_assert_float_eq(LogConditionalRatio(stratum, kOdds), 0, 1e-9);
}

// Guards against a tally that no longer fits into a datagram: the counts of a
// failure domain with 100 routes after 13 s at 233 requests per second.
Test(rollout, tally_fits_into_a_datagram) {
  constexpr std::size_t kMaxTallyBytes = 1'200;
  constexpr int kResponses = 3'000;
  constexpr int kRoutes = 100;
  constexpr int kCanaryInterval = 12;
  Rollout rollout({"s", "v2", Duration(12'000'000), 1},
                  RolloutBounds{0.1, 50, Duration(5'000'000)}, 1);
  std::mt19937_64 random(1);
  for (int i = 0; i < kResponses; ++i) {
    VersionResponse response;
    response.version = i % kCanaryInterval == 0 ? "v2" : "v1";
    response.route = StableHash(std::to_string(random() % kRoutes));
    response.upstream = random();
    response.warm = random() % 2 == 0;
    response.full = random() % 2 == 0;
    response.leaves_region = random() % 4 == 0;
    response.took = Duration(100'000);
    response.cold_run = Duration(100'000);
    rollout.OnAnswer(response);
  }
  const std::string bytes = EncodeBinary(rollout.OwnTally());
  cr_log_info("%zu bytes", bytes.size());
  cr_assert_lt(bytes.size(), kMaxTallyBytes);
  const auto decoded = DecodeBinary<RolloutTally>(bytes);
  cr_assert(decoded.has_value());
  cr_assert(EncodeBinary(*decoded) == bytes);
  cr_assert_eq(decoded->Total().other_versions.total,
               rollout.OwnTally().Total().other_versions.total);
}

}  // namespace
}  // namespace pathcleat
