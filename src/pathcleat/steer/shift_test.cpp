// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/shift.hpp"

#include <vector>

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(1'000'000)};
constexpr Duration kSecond{1'000'000};
constexpr ShiftTargetState kGoodTarget{0.5, Duration(20'000),
                                       Duration(100'000)};

ShiftPlan PlanWithCap(double cap, Duration ramp_time) {
  ShiftPlan plan;
  plan.cap = cap;
  plan.ramp_time = ramp_time;
  return plan;
}

// Promise: a shift never moves more traffic than its cap allows. Fails if the
// comparison in ShiftControl::TryMove is removed.
Test(promise, shift_never_passes_its_cap) {
  cr_assert(Holds("moved <= cap * offered at every prefix", [] {
    const double cap = *rc::gen::inRange(1, 101) / 100.0;
    ShiftControl shift(PlanWithCap(cap, kSecond), kStart);
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    Time now = kStart;
    std::uint64_t offered = 0;
    std::uint64_t moved = 0;
    for (const int step : steps) {
      now += Duration(100'000);
      switch (step) {
        case 0:
          shift.OnOffered();
          ++offered;
          break;
        case 1:  // A first attempt, a retry or a spill-over: all call TryMove.
        case 2:
          moved += shift.TryMove() ? 1 : 0;
          break;
        default:
          shift.Advance(kGoodTarget, now);
      }
      RC_ASSERT(static_cast<double>(moved) <=
                cap * static_cast<double>(offered));
    }
  }));
}

Test(shift, moved_callers_stay_moved) {
  cr_assert(Holds("the set of moved callers only grows", [] {
    ShiftControl shift(PlanWithCap(0.5, kSecond * 10), kStart);
    const double caller = *rc::gen::inRange(0, 1000) / 1000.0;
    bool moved = false;
    for (int i = 1; i <= 20; ++i) {
      shift.Advance(kGoodTarget, kStart + kSecond * i);
      RC_ASSERT(!moved || shift.ShouldMove(caller));
      moved = shift.ShouldMove(caller);
    }
    RC_ASSERT(moved == (caller < 0.5));
  }));
}

Test(shift, is_held_on_stale_data_low_headroom_and_high_latency) {
  ShiftControl shift(PlanWithCap(0.5, kSecond * 10), kStart);
  cr_assert_eq(shift.Advance(kGoodTarget, kStart + kSecond),
               RampDecision::kAdvanced);
  const double reached_share = shift.current_share();
  ShiftTargetState stale = kGoodTarget;
  stale.age = kSecond * 60;
  cr_assert_eq(shift.Advance(stale, kStart + kSecond * 2),
               RampDecision::kHeldStaleData);
  ShiftTargetState full = kGoodTarget;
  full.headroom = 0.01;
  cr_assert_eq(shift.Advance(full, kStart + kSecond * 3),
               RampDecision::kHeldLowHeadroom);
  ShiftTargetState slow = kGoodTarget;
  slow.latency = kGoodTarget.latency * 3;
  cr_assert_eq(shift.Advance(slow, kStart + kSecond * 4),
               RampDecision::kHeldHighLatency);
  cr_assert_eq(shift.current_share(), reached_share);
}

Test(shift, time_on_hold_is_not_caught_up) {
  ShiftControl shift(PlanWithCap(1.0, kSecond * 100), kStart);
  ShiftTargetState stale = kGoodTarget;
  stale.age = kSecond * 60;
  shift.Advance(stale, kStart + kSecond * 50);
  shift.Advance(kGoodTarget, kStart + kSecond * 51);
  cr_assert_float_eq(shift.current_share(), 0.01, 0.001);
}

}  // namespace
}  // namespace pathcleat
