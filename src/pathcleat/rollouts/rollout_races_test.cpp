// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Orders that replace each other or are withdrawn, further versions, and hosts
// that lack an order or a decision.

#include "pathcleat/rollouts/rollout_control.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(10'000'000)};
constexpr Duration kTimeout{20'000'000};
constexpr Duration kPeriod{250'000};
constexpr int kAnswersPerPeriod = 200;
const RolloutBounds kBounds{0.1, 50, Duration(5'000'000)};

RolloutOrder OrderFor(const std::string& version,
                      std::uint64_t id,
                      const std::string& service = "s") {
  return {service, version, kTimeout, id};
}

// A host that shares the decisions of all hosts, which stand for the store.
class Host {
 public:
  explicit Host(RolloutStates& states) : states_(states) {}

  Rollout& rollout(const std::string& service = "s") {
    return *control.Find(service);
  }

  // Good answers of each allowed version, and the decisions that are due.
  void Step(const std::set<std::string>& versions) {
    now += kPeriod;
    for (auto& [service, rollout] : control.All()) {
      rollout.SetLocalState(versions, 0);
      for (int i = 0; i < answers; ++i) {
        const VersionRulePtr rule = rollout.RuleFor(true);
        for (const std::string& version : versions) {
          if (!rule || rule->Allows(version)) {
            rollout.OnSent(version);
            VersionResponse response;
            response.version = version;
            response.route = 1;
            response.upstream = static_cast<std::uint64_t>(i);
            rollout.OnAnswer(response);
            break;
          }
        }
      }
    }
    const HybridTime time{
        static_cast<std::uint64_t>(now.time_since_epoch().count()), 0};
    for (const ProposedStep& due : control.Evaluate({1, time}, now)) {
      proposed_phase = due.step.phase;
      if (store_reachable) {
        Apply(states_, due.step, time);
      }
    }
    if (store_reachable) {
      control.SetStates(states_);
    }
  }
  void RunUntil(RolloutPhase phase, const std::set<std::string>& versions) {
    for (Time end = now + kTimeout; states_["s"].phase != phase && now < end;) {
      Step(versions);
    }
  }
  bool MaySend(const std::string& version) {
    return !rollout().RuleFor(false) ||
           rollout().RuleFor(false)->Allows(version);
  }
  // Whether a trial request may go to the version.
  bool MayTry(const std::string& version) {
    return !rollout().RuleFor(true) || rollout().RuleFor(true)->Allows(version);
  }

  RolloutControl control{"d", 1, kBounds};
  Time now = kStart;
  bool store_reachable = true;
  int answers = kAnswersPerPeriod;
  std::optional<RolloutPhase> proposed_phase;

 private:
  RolloutStates& states_;
};

struct RolloutRaces {
  RolloutPhase phase() { return states["s"].phase; }

  RolloutStates states;
  Host host{states};
};

// Guards against a version that was not found good and that takes all requests
// as an old version once another order replaces its order. Fails if
// Rollout::ServingVersions does not use the earlier state.
Test(promise, replaced_order_leaves_its_version_without_requests) {
  RolloutRaces races;
  races.host.control.SetOrders({OrderFor("v2", 1)});
  races.host.Step({"v1", "v2", "v3"});
  races.host.Step({"v1", "v2", "v3"});
  cr_assert(races.phase() == RolloutPhase::kRunning);
  races.host.control.SetOrders({OrderFor("v3", 2)});
  cr_assert(races.host.MaySend("v1"));
  cr_assert_not(races.host.MaySend("v2"));
  races.host.RunUntil(RolloutPhase::kCompleted, {"v1", "v2", "v3"});
  cr_assert_eq(races.states["s"].order_id, 2U);
  cr_assert(races.phase() == RolloutPhase::kCompleted);
  cr_assert(races.host.MaySend("v3"));
  cr_assert_not(races.host.MaySend("v2"));
}

// Guards against requests to upstreams that a completed order has let end, once
// the next order arrives. Fails if VersionsServingAt ignores the earlier state.
Test(promise, next_order_does_not_bring_back_the_replaced_version) {
  RolloutRaces races;
  races.host.control.SetOrders({OrderFor("v2", 1)});
  races.host.RunUntil(RolloutPhase::kCompleted, {"v1", "v2"});
  races.host.control.SetOrders({OrderFor("v3", 2)});
  cr_assert_not(races.host.MaySend("v1"));
  races.host.Step({"v1", "v2", "v3"});
  cr_assert(races.phase() == RolloutPhase::kRunning);
  cr_assert_not(races.host.MaySend("v1"));
  cr_assert(races.host.MaySend("v2"));
  races.host.control.SetOrders({});
  races.host.Step({"v1", "v2", "v3"});
  cr_assert(races.phase() == RolloutPhase::kRolledBack);
  cr_assert_not(races.host.MaySend("v1"));
  cr_assert_not(races.host.MaySend("v3"));
}

// Guards against requests to a version that no order names, in any phase. Fails
// if UpdateServingRule only excludes the versions of the rollout.
Test(promise, third_version_gets_nothing) {
  RolloutRaces races;
  races.host.control.SetOrders({OrderFor("v2", 1)});
  races.host.Step({"v1", "v2"});
  races.host.RunUntil(RolloutPhase::kPromoted, {"v1", "v2", "v3"});
  cr_assert_not(races.host.MaySend("v3"));
  cr_assert_not(races.host.MayTry("v3"));
  cr_assert_not(races.host.rollout().IsVersionAllowed("v3"));
  races.host.RunUntil(RolloutPhase::kCompleted, {"v1", "v2", "v3"});
  cr_assert_not(races.host.MaySend("v3"));
  cr_assert(races.host.MaySend("v2"));
  cr_assert_not(races.host.rollout().IsReplaced("v3"));
}

// The same while the order runs, and after it was rolled back.
Test(promise, third_version_gets_nothing_after_a_rollback) {
  RolloutRaces races;
  races.host.control.SetOrders({OrderFor("v2", 1)});
  races.host.Step({"v1", "v2"});
  races.host.Step({"v1", "v2", "v3"});
  cr_assert_not(races.host.MaySend("v3"));
  races.host.control.SetOrders({});
  races.host.Step({"v1", "v2", "v3"});
  cr_assert(races.phase() == RolloutPhase::kRolledBack);
  cr_assert_not(races.host.MaySend("v3"));
  cr_assert(races.host.MaySend("v1"));
}

// Guards against a host that starts after the order's row was deleted and
// ignores the decision on it. Fails if RolloutControl::SetStates skips
// decisions without an order.
Test(promise, host_without_the_order_follows_the_decision) {
  RolloutRaces races;
  races.host.control.SetOrders({OrderFor("v2", 1)});
  races.host.RunUntil(RolloutPhase::kCompleted, {"v1", "v2"});
  Host restarted(races.states);
  restarted.control.SetStates(races.states);
  restarted.control.SetOrders({});
  restarted.Step({"v1", "v2"});
  cr_assert_not(restarted.MaySend("v1"));
  cr_assert(restarted.MaySend("v2"));
}

// Guards against a host that has the decisions on a newer order, but still the
// older order, and follows the older one.
Test(promise, newer_decision_goes_before_an_older_order) {
  RolloutRaces races;
  races.host.control.SetOrders({OrderFor("v2", 1)});
  races.host.RunUntil(RolloutPhase::kCompleted, {"v1", "v2"});
  Host behind = races.host;
  races.host.control.SetOrders({OrderFor("v3", 2)});
  races.host.Step({"v2", "v3"});
  races.host.RunUntil(RolloutPhase::kCompleted, {"v2", "v3"});
  behind.Step({"v2", "v3"});
  cr_assert_eq(behind.rollout().order().id, 2U);
  cr_assert_not(behind.MaySend("v2"));
  cr_assert(behind.MaySend("v3"));
}

// Guards against a decision that stays unfinished because every host that had
// its order ended, and against one that is rolled back while the order is on
// its way to a host.
Test(rollout_races, unfinished_decision_without_an_order_is_rolled_back) {
  constexpr int kPeriodsUntilOrder = 20;
  RolloutRaces races;
  races.host.control.SetOrders({OrderFor("v2", 1)});
  races.host.Step({"v1", "v2"});
  Host restarted(races.states);
  restarted.control.SetStates(races.states);
  for (int i = 0; i < kPeriodsUntilOrder; ++i) {
    restarted.Step({"v1", "v2"});
    cr_assert(races.phase() == RolloutPhase::kRunning);
  }
  Host other = restarted;
  other.control.SetOrders({OrderFor("v2", 1)});
  other.Step({"v1", "v2"});
  cr_assert(races.phase() == RolloutPhase::kRunning);
  restarted.RunUntil(RolloutPhase::kRolledBack, {"v1", "v2"});
  cr_assert(races.phase() == RolloutPhase::kRolledBack);
}

// Guards against an order for the version that already runs, which would limit
// that version or wait for a trial.
Test(rollout_races, order_for_the_running_version_completes) {
  RolloutRaces races;
  races.host.control.SetOrders({OrderFor("v2", 1)});
  races.host.RunUntil(RolloutPhase::kCompleted, {"v1", "v2"});
  races.host.control.SetOrders({OrderFor("v2", 2)});
  const Time ordered = races.host.now;
  cr_assert(races.host.MaySend("v2"));
  races.host.Step({"v1", "v2"});
  cr_assert(races.phase() == RolloutPhase::kRunning);
  cr_assert(races.host.MaySend("v2"));
  cr_assert_not(races.host.MaySend("v1"));
  races.host.RunUntil(RolloutPhase::kCompleted, {"v1", "v2"});
  cr_assert(races.host.now - ordered <= kPeriod * 4);
}

// The same for a service that had no order before.
Test(rollout_races, order_for_the_only_version_completes) {
  RolloutRaces races;
  races.host.control.SetOrders({OrderFor("v1", 1)});
  races.host.RunUntil(RolloutPhase::kCompleted, {"v1"});
  cr_assert(races.phase() == RolloutPhase::kCompleted);
  cr_assert(races.host.now - kStart <= kPeriod * 4);
}

// Guards against an order for a version without upstreams that takes requests
// from the running version or stays open.
Test(rollout_races, version_without_upstreams_is_rolled_back) {
  RolloutRaces races;
  races.host.control.SetOrders({OrderFor("v9", 1)});
  races.host.Step({"v1"});
  races.host.Step({"v1"});
  cr_assert(races.host.MayTry("v1"));
  races.host.RunUntil(RolloutPhase::kRolledBack, {"v1"});
  cr_assert(races.phase() == RolloutPhase::kRolledBack);
  cr_assert(races.host.now - kStart < kTimeout);
  cr_assert(races.host.MaySend("v1"));
}

// Guards against an order for a service without any upstream, and against one
// whose service the configuration removes, that stay open.
Test(rollout_races, service_without_requests_is_rolled_back) {
  for (const std::set<std::string>& versions :
       {std::set<std::string>{}, std::set<std::string>{"v1", "v2"}}) {
    RolloutRaces races;
    races.host.answers = 0;
    races.host.control.SetOrders({OrderFor("v2", 1)});
    races.host.RunUntil(RolloutPhase::kRolledBack, versions);
    cr_assert(races.phase() == RolloutPhase::kRolledBack);
    cr_assert(races.host.now - kStart < kTimeout);
  }
}

// Guards against the promotion of an untested version by a host whose list has
// lost the old version's upstreams for a moment. Fails if
// ProposeStepWhileRunning asks the list alone.
Test(promise, list_without_the_old_version_promotes_nothing) {
  RolloutRaces races;
  races.host.control.SetOrders({OrderFor("v2", 1)});
  races.host.Step({"v1", "v2"});
  races.host.answers = 0;
  races.host.Step({"v2"});
  races.host.Step({"v2"});
  cr_assert(races.phase() == RolloutPhase::kRunning);
}

// Guards against the decisions on one service that act on another.
Test(rollout_races, two_services_are_independent) {
  RolloutRaces races;
  races.host.control.SetOrders({OrderFor("v2", 1), OrderFor("v2", 2, "t")});
  races.host.Step({"v1", "v2"});
  races.host.Step({"v1", "v2"});
  races.host.control.SetOrders({OrderFor("v2", 1)});
  races.host.RunUntil(RolloutPhase::kCompleted, {"v1", "v2"});
  cr_assert(races.phase() == RolloutPhase::kCompleted);
  cr_assert(races.states["t"].phase == RolloutPhase::kRolledBack);
  cr_assert(races.host.rollout("t").RuleFor(false)->Allows("v1"));
  cr_assert_not(races.host.rollout("t").RuleFor(false)->Allows("v2"));
}

// Guards against requests to a version on trial while the store cannot take the
// decision to roll it back. Fails without Rollout::SuspendTrial.
Test(promise, host_that_wants_a_rollback_stops_the_trial_without_the_store) {
  RolloutRaces races;
  races.host.control.SetOrders({OrderFor("v2", 1)});
  races.host.Step({"v1", "v2"});
  races.host.Step({"v1", "v2"});
  races.host.store_reachable = false;
  races.host.control.SetOrders({});
  races.host.Step({"v1", "v2"});
  cr_assert(races.host.proposed_phase == RolloutPhase::kRolledBack);
  const auto sent = races.host.rollout().canary_limiter().new_version_sent();
  races.host.Step({"v1", "v2"});
  races.host.Step({"v1", "v2"});
  cr_assert_eq(races.host.rollout().canary_limiter().new_version_sent(), sent);
  cr_assert_not(races.host.rollout().IsVersionAllowed("v2"));
}

}  // namespace
}  // namespace pathcleat
