// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/rollout_control.hpp"

#include <random>

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(10'000'000)};
constexpr Duration kTimeout{12'000'000};
constexpr Duration kPeriod{250'000};
constexpr std::uint64_t kRoute = 7;
constexpr double kMaxCanaryShare = 0.1;
constexpr std::uint64_t kUpstreams = 10;
const RolloutBounds kBounds{kMaxCanaryShare, 50, Duration(5'000'000)};

RolloutOrder MakeOrder(std::uint64_t id = 5) {
  return {"s", "v2", kTimeout, id};
}

// Quality of a version's answers.
struct AnswerModel {
  double bad = 0;        ///< share of bad answers among the affected answers
  Duration bad_from{0};  ///< all answers before this time are good
  std::uint64_t only_route =
      0;  ///< bad answers on this route only; 0: on all routes
};

// Simulates hosts that each use their own canary limiter, receive each other's
// tallies, and can be killed and restarted. All hosts share one log of
// decisions, which stands for the store.
class Fleet {
 public:
  Fleet(int hosts, std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < hosts; ++i) {
      controls_.emplace_back("d", ++incarnations_, kBounds);
      controls_.back().SetOrders({MakeOrder()});
    }
  }

  void Run(const AnswerModel& new_version,
           const AnswerModel& other_versions,
           int rate) {
    for (Time now = kStart; now < kStart + kTimeout; now += kPeriod) {
      Step(new_version, other_versions, rate, now);
    }
  }

  void Step(const AnswerModel& new_version,
            const AnswerModel& other_versions,
            int rate,
            Time now) {
    for (RolloutControl& control : controls_) {
      for (int i = 0; i < rate; ++i) {
        Send(control, new_version, other_versions, now);
      }
    }
    for (std::size_t from = 0; from < controls_.size(); ++from) {
      for (RolloutControl& to : controls_) {
        to.OnHostTallies(from + 1, controls_[from].OwnTallies(), now);
      }
    }
    RolloutContext fleet;
    fleet.host_count = static_cast<int>(controls_.size());
    fleet.time = {static_cast<std::uint64_t>(now.time_since_epoch().count()),
                  0};
    for (RolloutControl& control : controls_) {
      control.Find("s")->SetLocalState({"v1", "v2"}, 0);
    }
    for (RolloutControl& control : controls_) {
      for (const ProposedStep& due : control.Evaluate(fleet, now)) {
        Apply(states_, due.step, fleet.time);
      }
    }
    for (RolloutControl& control : controls_) {
      control.SetStates(states_);
    }
    if (states_["s"].phase == RolloutPhase::kRolledBack &&
        sent_at_rollback_ == 0) {
      sent_at_rollback_ = new_version_sent_;
    }
  }

  void Kill(std::size_t index) {
    controls_[index] = RolloutControl("d", ++incarnations_, kBounds);
    controls_[index].SetOrders({MakeOrder()});
    controls_[index].SetStates(states_);
  }

  RolloutPhase phase() { return states_["s"].phase; }
  int sent() const { return sent_; }
  int new_version_sent() const { return new_version_sent_; }
  int new_version_bad_answers() const { return new_version_bad_answers_; }

 private:
  void Send(RolloutControl& control,
            const AnswerModel& new_version,
            const AnswerModel& other_versions,
            Time now) {
    Rollout& rollout = *control.Find("s");
    const VersionRulePtr rule = rollout.RuleFor(true);
    const std::string version = !rule || rule->Allows("v1") ? "v1" : "v2";
    const AnswerModel& answers = version == "v2" ? new_version : other_versions;
    const std::uint64_t route = kRoute + random_() % 2;
    const bool affected =
        (answers.only_route == 0 || answers.only_route == route) &&
        now - kStart >= answers.bad_from;
    std::bernoulli_distribution draw(affected ? answers.bad : 0);
    const bool bad = draw(random_);
    rollout.OnSent(version);
    VersionResponse response;
    response.version = version;
    response.route = route;
    response.upstream = random_() % kUpstreams;
    response.failed = bad;
    rollout.OnAnswer(response);
    ++sent_;
    new_version_sent_ += version == "v2" ? 1 : 0;
    new_version_bad_answers_ += version == "v2" && bad ? 1 : 0;
  }

  std::mt19937_64 random_;
  std::vector<RolloutControl> controls_;
  std::uint64_t incarnations_ = 0;
  RolloutStates states_;
  int sent_ = 0;
  int new_version_sent_ = 0;
  int new_version_bad_answers_ = 0;
  int sent_at_rollback_ = 0;
};

// Promise: no decision sends more than the share of the deployment's bounds to
// a version on trial, regardless of the reports that hosts have received from
// each other. Fails if the comparison in CanaryLimiter::MaySend is removed.
Test(promise, canary_version_gets_its_share_at_most) {
  cr_assert(Holds("new <= share * sent, over deaths and starts", [] {
    const int hosts = *rc::gen::inRange(1, 8);
    const double share = *rc::gen::inRange(1, 51) / 100.0;
    std::vector<CanaryLimiter> limiters(static_cast<std::size_t>(hosts),
                                        CanaryLimiter(share));
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, hosts * 20));
    int sent = 0;
    int new_version = 0;
    for (const int step : steps) {
      CanaryLimiter& limiter = limiters[static_cast<std::size_t>(step % hosts)];
      if (step < hosts) {
        limiter = CanaryLimiter(share);
        continue;
      }
      const bool to_new_version = limiter.MaySend();
      limiter.OnSent(to_new_version);
      ++sent;
      new_version += to_new_version ? 1 : 0;
      RC_ASSERT(new_version <= share * sent);
    }
  }));
}

// Fails if IsValidTransition allows kRolledBack after RolloutPhase::kCompleted.
Test(promise, final_rollout_never_changes) {
  cr_assert(Holds("no step changes a final state but a newer order", [] {
    RolloutStates states;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
    for (const int step : steps) {
      const RolloutState before = states["s"];
      const RolloutStep next{"s",
                             static_cast<std::uint64_t>(1 + step / 4),
                             "v2",
                             static_cast<RolloutPhase>(step % 4),
                             {}};
      Apply(states, next, {});
      const RolloutState& after = states["s"];
      RC_ASSERT(after.order_id >= before.order_id);
      if (before.IsFinal() && after.order_id == before.order_id) {
        RC_ASSERT(after.phase == before.phase);
      }
    }
  }));
}

// 30 hosts that each send 4 requests per quarter of a second: 480 a second.
constexpr int kHosts = 30;
constexpr int kRate = 4;
constexpr int kSeeds = 40;

RolloutPhase RunRollout(const AnswerModel& new_version,
                        const AnswerModel& other_versions,
                        std::uint64_t seed,
                        int* new_version_bad_answers = nullptr) {
  Fleet fleet(kHosts, seed);
  fleet.Run(new_version, other_versions, kRate);
  if (new_version_bad_answers != nullptr) {
    *new_version_bad_answers =
        std::max(*new_version_bad_answers, fleet.new_version_bad_answers());
  }
  return fleet.phase();
}

Test(rollout, good_version_completes) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const AnswerModel same{0.004, Duration(0), 0};
    cr_assert(RunRollout(same, same, seed) == RolloutPhase::kCompleted);
  }
}

// A degraded upstream or a burst of failures affects the other versions as
// well.
Test(rollout, good_version_completes_when_all_versions_fail_often) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const AnswerModel same{0.1, Duration(0), 0};
    cr_assert(RunRollout(same, same, seed) == RolloutPhase::kCompleted);
  }
}

// Number of bad answers that the users' limit allows regardless of the number
// of requests.
constexpr int kMaxBadAnswers = 50;

// Fails if Rollout::IsBad always returns false.
Test(rollout, failing_version_is_rolled_back) {
  const std::vector<AnswerModel> models{{0.2, Duration(0), 0},
                                        {1.0, Duration(0), 0},
                                        {0.2, Duration(3'000'000), 0},
                                        {0.5, Duration(0), kRoute}};
  for (const AnswerModel& model : models) {
    int new_version_bad_answers = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const AnswerModel usual{0.004, Duration(0), 0};
      cr_assert(RunRollout(model, usual, seed, &new_version_bad_answers) ==
                RolloutPhase::kRolledBack);
    }
    cr_assert_leq(new_version_bad_answers, kMaxBadAnswers);
  }
}

// Guards against the completion of a version that becomes bad at the end of its
// trial or after it was promoted. Such a version must be rolled back before the
// other version ends.
Test(rollout, version_in_doubt_is_never_completed) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const AnswerModel usual{0.004, Duration(0), 0};
    const AnswerModel slight{0.07, Duration(0), 0};
    cr_assert(RunRollout(slight, usual, seed) != RolloutPhase::kCompleted);
  }
}

Test(rollout, version_with_few_answers_is_rolled_back) {
  Fleet fleet(2, 1);
  const AnswerModel good{0, Duration(0), 0};
  fleet.Run(good, good, 1);
  cr_assert(fleet.phase() == RolloutPhase::kRolledBack);
}

Test(rollout, killed_hosts_do_not_exceed_the_canary_share) {
  constexpr std::size_t kKilled = 18;
  Fleet fleet(kHosts, 3);
  const AnswerModel good{0.004, Duration(0), 0};
  for (Time now = kStart; now < kStart + kTimeout / 2; now += kPeriod) {
    fleet.Step(good, good, kRate, now);
    for (std::size_t i = 0; i < kKilled; ++i) {
      fleet.Kill(i);
    }
    cr_assert(fleet.new_version_sent() <= kMaxCanaryShare * fleet.sent());
  }
}

Test(rollout, withdrawn_order_is_rolled_back_and_a_new_one_starts) {
  RolloutControl control("d", 1, kBounds);
  RolloutStates states;
  const auto evaluate = [&](Time now) {
    RolloutContext fleet;
    control.Find("s")->SetLocalState({"v1", "v2"}, 0);
    for (const ProposedStep& due : control.Evaluate(fleet, now)) {
      Apply(states, due.step, {});
    }
    control.SetStates(states);
  };
  control.SetOrders({MakeOrder(1)});
  evaluate(kStart);
  cr_assert(states["s"].phase == RolloutPhase::kRunning);
  control.SetOrders({});
  evaluate(kStart);
  cr_assert(states["s"].phase == RolloutPhase::kRolledBack);
  control.SetOrders({MakeOrder(2)});
  evaluate(kStart);
  cr_assert(states["s"].phase == RolloutPhase::kRunning);
  cr_assert_eq(states["s"].order_id, 2U);
}

// Work in flight at an old version delays that version's end. Fails without the
// check of other_versions_in_flight in Rollout::ProposeStepWhilePromoted.
Test(promise, old_version_does_not_end_while_work_runs_on_it) {
  RolloutControl control("d", 1, kBounds);
  RolloutStates states;
  RolloutContext fleet;
  const auto evaluate = [&](Time now, std::uint32_t in_flight) {
    control.Find("s")->SetLocalState({"v2"}, in_flight);
    for (const ProposedStep& due : control.Evaluate(fleet, now)) {
      Apply(states, due.step, {});
    }
    control.SetStates(states);
  };
  control.SetOrders({MakeOrder()});
  evaluate(kStart, 1);
  evaluate(kStart, 1);
  cr_assert(states["s"].phase == RolloutPhase::kPromoted);
  evaluate(kStart + kPeriod, 1);
  cr_assert(states["s"].phase == RolloutPhase::kPromoted);
  fleet.host_count = 2;  // One host has not reported that it no longer sends to
                         // the old version.
  evaluate(kStart + kPeriod * 2, 0);
  cr_assert(states["s"].phase == RolloutPhase::kPromoted);
  fleet.host_count = 1;
  evaluate(kStart + kPeriod * 3, 0);
  cr_assert(states["s"].phase == RolloutPhase::kCompleted);
}

// Sets the phase of a rollout directly.
void SetPhase(RolloutControl& control, RolloutPhase phase) {
  RolloutState state;
  state.order_id = MakeOrder().id;
  state.version = "v2";
  state.phase = phase;
  state.replaced_versions = {"v1"};
  control.SetStates({{"s", state}});
}

// Guards against a host that has just started, has no list of upstreams yet,
// and concludes that no other version runs. Such a host sent requests to the
// version on trial without a limit.
Test(promise, missing_list_allows_no_version_on_trial) {
  RolloutControl control("d", 1, kBounds);
  control.SetOrders({MakeOrder()});
  Rollout& rollout = *control.Find("s");
  rollout.SetLocalState({}, 0);
  for (const RolloutPhase phase :
       {RolloutPhase::kRunning, RolloutPhase::kRolledBack}) {
    SetPhase(control, phase);
    cr_assert(rollout.RuleFor(false) != nullptr);
    cr_assert_not(rollout.RuleFor(false)->Allows("v2"));
  }
  SetPhase(control, RolloutPhase::kCompleted);
  cr_assert_not(rollout.RuleFor(false)->Allows("v1"));
}

// Guards against a request that is sent to a version that a decision has
// excluded after the version was chosen: while the request's connection was
// opened, the version on trial was rolled back, or the old version was
// replaced.
Test(promise, decision_applies_to_versions_chosen_earlier) {
  RolloutControl control("d", 1, kBounds);
  control.SetOrders({MakeOrder()});
  Rollout& rollout = *control.Find("s");
  rollout.SetLocalState({"v1", "v2"}, 0);
  SetPhase(control, RolloutPhase::kRunning);
  cr_assert(rollout.IsVersionAllowed("v1"));
  cr_assert(rollout.IsVersionAllowed("v2"));
  SetPhase(control, RolloutPhase::kRolledBack);
  cr_assert(rollout.IsVersionAllowed("v1"));
  cr_assert_not(rollout.IsVersionAllowed("v2"));
}

Test(promise, promotion_excludes_an_old_version_chosen_earlier) {
  RolloutControl control("d", 1, kBounds);
  control.SetOrders({MakeOrder()});
  Rollout& rollout = *control.Find("s");
  rollout.SetLocalState({"v1", "v2"}, 0);
  SetPhase(control, RolloutPhase::kPromoted);
  cr_assert_not(rollout.IsVersionAllowed("v1"));
  cr_assert(rollout.IsVersionAllowed("v2"));
}

// Guards against a canary with an exposure that the deployment never allowed.
Test(rollout, order_without_bounds_is_refused) {
  RolloutControl control("d", 1, std::nullopt);
  control.SetOrders({MakeOrder()});
  RolloutStates states;
  std::string reason;
  for (int i = 0; i < 2; ++i) {
    control.Find("s")->SetLocalState({"v1", "v2"}, 0);
    for (const ProposedStep& due : control.Evaluate({1, {}}, kStart)) {
      Apply(states, due.step, {});
      reason = due.reason;
    }
    control.SetStates(states);
    cr_assert_not(control.Find("s")->RuleFor(true)->Allows("v2"));
  }
  cr_assert(states["s"].phase == RolloutPhase::kRolledBack);
  cr_assert_neq(reason.find("rollout_exposure_share"), std::string::npos);
}

// If the list of upstreams has only one version, that version gets the
// requests, also after a rollback; an old version that is the only one listed
// does not count as ended.
Test(rollout, only_listed_version_gets_requests) {
  RolloutControl control("d", 1, kBounds);
  control.SetOrders({MakeOrder()});
  Rollout& rollout = *control.Find("s");
  SetPhase(control, RolloutPhase::kRolledBack);
  rollout.SetLocalState({"v2"}, 0);
  cr_assert(rollout.RuleFor(false) == nullptr);
  SetPhase(control, RolloutPhase::kPromoted);
  rollout.SetLocalState({"v1"}, 0);
  cr_assert(rollout.RuleFor(false) == nullptr);
  cr_assert(control.Evaluate({1, {}}, kStart).empty());
}

}  // namespace
}  // namespace pathcleat
