// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Held rollouts at one host, which decides alone.

#include "pathcleat/steer/rollout_hold.hpp"
#include "pathcleat/rollouts/rollout_control.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

constexpr std::uint64_t kOrder = 5;
constexpr Duration kTimeout{12'000'000};
constexpr Duration kPeriod{250'000};
constexpr std::uint64_t kStartMicros = 100'000'000;

// Sends requests to versions v1 and v2 of a service, and applies each decision.
class HeldRollout {
 public:
  HeldRollout() { control_.SetOrders({{"s", "v2", kTimeout, kOrder}}); }

  // Advances by one period, in which 200 requests are sent.
  // @param is_bad whether all answers of the new version are bad.
  void Advance(bool is_bad) {
    Rollout& rollout = *control_.Find("s");
    constexpr int kRequests = 200;
    for (int i = 0; i < kRequests; ++i) {
      const VersionRulePtr rule = rollout.RuleFor(true);
      const std::string version = !rule || rule->Allows("v1") ? "v1" : "v2";
      rollout.OnSent(version);
      VersionResponse response;
      response.version = version;
      response.route = 1;
      response.upstream = static_cast<std::uint64_t>(i);
      response.failed = is_bad && version == "v2";
      rollout.OnAnswer(response);
      new_version_sent_ += version == "v2" ? 1 : 0;
    }
    rollout.SetLocalState({"v1", "v2"}, 0);
    elapsed_ += kPeriod;
    const HybridTime time{
        kStartMicros + static_cast<std::uint64_t>(elapsed_.count()), 0};
    for (const ProposedStep& due :
         control_.Evaluate({1, time}, Time(elapsed_))) {
      Apply(states_, due.step, time);
      reason_ = due.reason;
      ++proposal_count_;
    }
    control_.SetStates(states_);
  }

  void AdvanceTo(Duration elapsed, bool is_bad = false) {
    while (elapsed_ < elapsed) {
      Advance(is_bad);
    }
  }

  void SetHeld(bool held) {
    cr_assert(Apply(states_, SetRolloutHold{"s", kOrder, held}));
    control_.SetStates(states_);
  }

  RolloutPhase phase() { return states_["s"].phase; }
  const std::string& reason() const { return reason_; }
  int new_version_sent() const { return new_version_sent_; }
  int proposal_count() const { return proposal_count_; }

 private:
  RolloutControl control_{"d", 1, RolloutBounds{0.1, 50, Duration(5'000'000)}};
  RolloutStates states_;
  Duration elapsed_{0};
  std::string reason_;
  int new_version_sent_ = 0;
  int proposal_count_ = 0;
};

// Guards against a promotion while held, also against one that is proposed
// again and again and fills the command log, and against a hold that stops the
// collection of evidence: the resumed rollout is decided at once. Fails without
// RestrictHeldStep.
Test(rollout_hold, held_rollout_goes_on_when_it_is_resumed) {
  HeldRollout rollout;
  rollout.AdvanceTo(kTimeout / 4);
  rollout.SetHeld(true);
  const int sent = rollout.new_version_sent();
  const int proposals = rollout.proposal_count();
  rollout.AdvanceTo(kTimeout * 7 / 10);
  cr_assert(rollout.phase() == RolloutPhase::kRunning);
  cr_assert_gt(rollout.new_version_sent(), sent);
  cr_assert_eq(rollout.proposal_count(), proposals);
  rollout.SetHeld(false);
  rollout.Advance(false);
  cr_assert(rollout.phase() == RolloutPhase::kPromoted);
  rollout.Advance(false);
  cr_assert(rollout.phase() == RolloutPhase::kCompleted);
}

// Guards against a rollout that is held beyond its deadline. Fails without the
// cutoff in RestrictHeldStep.
Test(rollout_hold, good_version_that_stays_held_is_rolled_back_in_time) {
  HeldRollout rollout;
  rollout.AdvanceTo(kTimeout / 4);
  rollout.SetHeld(true);
  rollout.AdvanceTo(kTimeout);
  cr_assert(rollout.phase() == RolloutPhase::kRolledBack);
  cr_assert(rollout.reason().starts_with("held beyond"));
}

// Guards against a completion while held after the promotion, and against one
// that never ends.
Test(rollout_hold, promoted_version_that_stays_held_is_rolled_back_in_time) {
  HeldRollout rollout;
  while (rollout.phase() != RolloutPhase::kPromoted) {
    rollout.Advance(false);
  }
  rollout.SetHeld(true);
  rollout.AdvanceTo(kTimeout * 9 / 10);
  cr_assert(rollout.phase() == RolloutPhase::kPromoted);
  rollout.AdvanceTo(kTimeout);
  cr_assert(rollout.phase() == RolloutPhase::kRolledBack);
}

// Guards against a hold that keeps a bad version in service.
Test(rollout_hold, version_that_becomes_bad_while_held_is_rolled_back) {
  HeldRollout rollout;
  rollout.AdvanceTo(kTimeout / 4);
  rollout.SetHeld(true);
  rollout.AdvanceTo(kTimeout / 2, true);
  cr_assert(rollout.phase() == RolloutPhase::kRolledBack);
}

}  // namespace
}  // namespace pathcleat
