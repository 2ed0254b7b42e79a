// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// When the old versions of a promoted rollout may end, with hosts that restart,
// are cut off, paused or new.

#include "pathcleat/rollouts/completion_check.hpp"
#include "pathcleat/rollouts/decision_freshness.hpp"
#include "pathcleat/rollouts/rollout_control.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(100'000'000)};
constexpr Duration kTimeout{20'000'000};
constexpr Duration kSecond{1'000'000};
constexpr Duration kPeriod{250'000};
constexpr std::uint64_t kPromotion = 7;
const RolloutBounds kBounds{0.1, 50, Duration(5'000'000)};

HybridTime ToHybridTime(Time now) {
  return {static_cast<std::uint64_t>(now.time_since_epoch().count()), 0};
}

// One of three hosts, with a rollout that was started at kStart and promoted.
class Decider {
 public:
  Decider() {
    control_.SetOrders({{"s", "v2", kTimeout, 1}});
    control_.SetStates({{"s",
                         {1,
                          "v2",
                          RolloutPhase::kPromoted,
                          ToHybridTime(kStart),
                          {"v1"},
                          false,
                          kPromotion}}});
  }

  void OnPromotedHost(std::uint64_t incarnation, Time now) {
    RolloutTally tally;
    tally.order_id = 1;
    tally.promoted_host_count = 1;
    control_.OnHostTallies(incarnation, {{"s", tally}}, now);
  }

  std::optional<RolloutPhase> Propose(const std::vector<PeerDecisions>& peers,
                                      int host_count,
                                      Time now) {
    control_.Find("s")->SetLocalState({"v1", "v2"}, 0);
    const auto due =
        control_.Evaluate({host_count, ToHybridTime(now), peers}, now);
    return due.empty() ? std::nullopt : std::optional(due.front().step.phase);
  }

 private:
  RolloutControl control_{"d", 1, kBounds};
};

// Guards against the end of the old versions while a host still sends to them,
// because another host restarted and its reports before and after the restart
// count as two hosts. Fails without MaySendToOldVersions.
Test(promise, restarted_host_does_not_count_for_one_that_is_behind) {
  Decider decider;
  const Time now = kStart + kSecond * 12;
  decider.OnPromotedHost(2, now - kSecond);
  decider.OnPromotedHost(3, now);  // the same host, restarted
  cr_assert_not(
      decider
          .Propose({{kPromotion, kPeriod}, {kPromotion - 1, kPeriod}}, 3, now)
          .has_value());
  cr_assert(decider.Propose({{kPromotion, kPeriod}, {kPromotion, kPeriod}}, 3,
                            now) == RolloutPhase::kCompleted);
}

// The same for a host that has just joined, so that its heartbeats have not
// arrived yet, while a host that has left still counts as promoted.
Test(promise, host_that_left_does_not_count_for_one_that_joins) {
  Decider decider;
  const Time now = kStart + kSecond * 12;
  decider.OnPromotedHost(2, now - kSecond);
  cr_assert_not(decider.Propose({{0, kPeriod}}, 2, now).has_value());
  cr_assert(decider.Propose({{kPromotion, kPeriod}}, 2, now) ==
            RolloutPhase::kCompleted);
}

// Guards against the end of the old versions while a host that is cut off for
// some seconds sends to them or has work in flight there. Fails without
// MaySendToOldVersions.
Test(promise, silent_host_is_waited_for) {
  const PeerDecisions silent{kPromotion, kSecond * 5};
  for (const int seconds : {11, 13, 16}) {
    Decider decider;
    const Time now = kStart + kSecond * seconds;
    cr_assert_not(decider.Propose({silent}, 1, now).has_value());
  }
}

// Guards against a good version that is not completed because a host was
// killed.
Test(rollout_completion, killed_host_delays_and_does_not_prevent_completion) {
  Decider decider;
  const Time now = kStart + SilentHostWait(kTimeout);
  cr_assert(decider.Propose({{0, kSecond * 9}}, 1, now) ==
            RolloutPhase::kCompleted);
  Decider early;
  cr_assert(early.Propose({{0, kTimeout * 2}}, 1, kStart + kSecond * 12) ==
            RolloutPhase::kCompleted);
}

// Guards against decisions by a host that has been paused, hears too few hosts
// or knows that there are newer decisions. Fails if DecisionFreshness::IsFresh
// always returns true.
Test(rollout_completion, host_without_news_is_not_fresh) {
  const PeerDecisions heard{kPromotion, kPeriod};
  const PeerDecisions silent{kPromotion, kSecond * 3};
  DecisionFreshness freshness;
  cr_assert_not(freshness.IsFresh(kStart));
  freshness.OnPeers({heard, silent, silent}, kPromotion, kStart);
  cr_assert_not(freshness.IsFresh(kStart));
  freshness.OnPeers({heard, heard, silent}, kPromotion - 1, kStart);
  cr_assert_not(freshness.IsFresh(kStart));
  freshness.OnPeers({heard, heard, silent}, kPromotion, kStart);
  cr_assert(freshness.IsFresh(kStart + kPeriod * 2));
  cr_assert_not(freshness.IsFresh(kStart + kSecond * 2));  // after a pause
  freshness.OnLogRead(kStart + kSecond * 2);
  cr_assert(freshness.IsFresh(kStart + kSecond * 2));
}

// Whether a host that lacks the promotion sends to the old version.
bool SendsToOldVersion(const DecisionFreshness& freshness,
                       RolloutControl& control,
                       Time now) {
  return freshness.IsFresh(now) || !control.Find("s")->MayHaveEnded(now);
}

// A host stops being heard, because it is cut off or paused, before it gets the
// promotion. Whenever the others complete the rollout, it must have stopped
// sending to the old version, also when it wakes later.
Test(promise, host_without_the_promotion_stops_before_the_others_complete) {
  cr_assert(Holds("no request to an old version after the completion", [] {
    const Duration timeout = kSecond * *rc::gen::inRange(10, 60);
    const Duration promoted = timeout * *rc::gen::inRange(50, 76) / 100;
    const Duration cut = promoted * *rc::gen::inRange(0, 101) / 100;
    const bool is_paused = *rc::gen::arbitrary<bool>();
    RolloutControl control("d", 2, kBounds);
    control.SetOrders({{"s", "v2", timeout, 1}});
    control.SetStates(
        {{"s",
          {1, "v2", RolloutPhase::kRunning, ToHybridTime(kStart), {"v1"}, 1}}});
    DecisionFreshness freshness;
    for (Duration t{0}; t <= timeout; t += kPeriod) {
      const Time now = kStart + t;
      if (!is_paused || t <= cut) {
        const Duration silence = std::max(Duration::zero(), t - cut);
        freshness.OnPeers({{1, silence}, {1, silence}}, 1, now);
        control.Find("s")->SetLocalState({"v1", "v2"}, 0);
        control.Evaluate({1, ToHybridTime(now), {}}, now);
      }
      const RemainingSenders remaining =
          CountRemainingSenders({{1, t - cut}}, kPromotion, timeout);
      const bool completes =
          t >= promoted && remaining.behind == 0 &&
          (remaining.silent == 0 || t >= SilentHostWait(timeout));
      RC_ASSERT(!completes || !SendsToOldVersion(freshness, control, now));
    }
  }));
}

}  // namespace
}  // namespace pathcleat
