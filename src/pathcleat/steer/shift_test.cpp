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

ShiftPlan PlanWithCap(double cap, Duration over) {
  ShiftPlan plan;
  plan.cap = cap;
  plan.ramp_time = over;
  return plan;
}

// Promise: a shift never moves more traffic than its cap allows.
// Checked to fail with the comparison in ShiftGate::TryMove switched off.
Test(promise, shift_never_passes_its_cap) {
  cr_assert(Holds("moved <= cap * offered at every prefix", [] {
    const double cap = *rc::gen::inRange(1, 101) / 100.0;
    ShiftControl gate(PlanWithCap(cap, kSecond), kStart);
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    Time now = kStart;
    std::uint64_t offered = 0;
    std::uint64_t moved = 0;
    for (const int step : steps) {
      now += Duration(100'000);
      switch (step) {
        case 0:
          gate.OnOffered();
          ++offered;
          break;
        case 1:  // A first attempt, a retry or a spill: all ask the same.
        case 2:
          moved += gate.TryMove() ? 1 : 0;
          break;
        default:
          gate.Advance(kGoodTarget, now);
      }
      RC_ASSERT(static_cast<double>(moved) <=
                cap * static_cast<double>(offered));
    }
  }));
}

Test(shift, those_moved_first_stay_moved) {
  cr_assert(Holds("the set of moved callers only grows", [] {
    ShiftControl gate(PlanWithCap(0.5, kSecond * 10), kStart);
    const double caller = *rc::gen::inRange(0, 1000) / 1000.0;
    bool moved = false;
    for (int i = 1; i <= 20; ++i) {
      gate.Advance(kGoodTarget, kStart + kSecond * i);
      RC_ASSERT(!moved || gate.ShouldMove(caller));
      moved = gate.ShouldMove(caller);
    }
    RC_ASSERT(moved == (caller < 0.5));
  }));
}

Test(shift, holds_on_old_data_small_headroom_and_grown_latency) {
  ShiftControl gate(PlanWithCap(0.5, kSecond * 10), kStart);
  cr_assert_eq(gate.Advance(kGoodTarget, kStart + kSecond),
               RampDecision::kAdvanced);
  const double reached = gate.current_share();
  ShiftTargetState old = kGoodTarget;
  old.age = kSecond * 60;
  cr_assert_eq(gate.Advance(old, kStart + kSecond * 2),
               RampDecision::kHeldStaleData);
  ShiftTargetState full = kGoodTarget;
  full.headroom = 0.01;
  cr_assert_eq(gate.Advance(full, kStart + kSecond * 3),
               RampDecision::kHeldLowHeadroom);
  ShiftTargetState slow = kGoodTarget;
  slow.latency = kGoodTarget.latency * 3;
  cr_assert_eq(gate.Advance(slow, kStart + kSecond * 4),
               RampDecision::kHeldHighLatency);
  cr_assert_eq(gate.current_share(), reached);
}

Test(shift, time_held_is_not_made_up_for) {
  ShiftControl gate(PlanWithCap(1.0, kSecond * 100), kStart);
  ShiftTargetState old = kGoodTarget;
  old.age = kSecond * 60;
  gate.Advance(old, kStart + kSecond * 50);
  gate.Advance(kGoodTarget, kStart + kSecond * 51);
  cr_assert_float_eq(gate.current_share(), 0.01, 0.001);
}

}  // namespace
}  // namespace pathcleat
