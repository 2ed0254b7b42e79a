// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/admission.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

constexpr Duration kTarget{400'000};
constexpr Duration kUsualRun{150'000};

AdmissionInput FirstTry(Duration wait, Duration service) {
  AdmissionInput input;
  input.queue_wait = wait;
  input.service_time = service;
  input.usual_run_time = kUsualRun;
  input.slots = 3;
  input.target_latency = kTarget;
  input.target_time_left = kTarget;
  return input;
}

Test(admission, first_try_waits_as_long_as_it_is_in_time) {
  const Duration service{160'000};
  cr_assert(DecideAdmission(FirstTry(kTarget - service, service)) ==
            AdmissionDecision::kAdmitInTime);
  cr_assert(DecideAdmission(FirstTry(kTarget - service + Duration(1),
                                     service)) == AdmissionDecision::kRefuse);
}

// Checked to fail with may_be_late true for all, and with it false for all.
Test(admission, late_for_its_run_alone_waits_as_long_as_a_usual_one) {
  const Duration service{500'000};
  const Duration longest = kTarget - kUsualRun;
  cr_assert(DecideAdmission(FirstTry(longest, service)) ==
            AdmissionDecision::kAdmitLate);
  cr_assert(DecideAdmission(FirstTry(longest + Duration(1), service)) ==
            AdmissionDecision::kRefuse);
  const Duration in_time{350'000};
  cr_assert(DecideAdmission(FirstTry(longest, in_time)) ==
            AdmissionDecision::kRefuse);
}

// Checked to fail with input.is_retry let through in Admit, and without the
// place.
Test(admission, return_waits_one_place_longer_than_a_usual_first_try) {
  const Duration place = kUsualRun / 3;
  AdmissionInput input =
      FirstTry(kTarget - kUsualRun + place, Duration(160'000));
  input.is_retry = true;
  input.target_time_left = Duration(-600'000);
  cr_assert(DecideAdmission(input) == AdmissionDecision::kAdmitLate);
  input.queue_wait += Duration(1);
  cr_assert(DecideAdmission(input) == AdmissionDecision::kRefuse);
}

Test(admission, free_slot_is_open_to_all) {
  cr_assert(Holds("nobody is refused where nothing waits", [] {
    AdmissionInput input;
    input.service_time = Duration(*rc::gen::inRange(0, 3'000'000));
    input.usual_run_time = Duration(*rc::gen::inRange(0, 1'000'000));
    input.target_latency = Duration(*rc::gen::inRange(1, 1'000'000));
    input.target_time_left =
        input.target_latency - Duration(*rc::gen::inRange(0, 3'000'000));
    input.is_retry = input.target_time_left < input.target_latency;
    RC_ASSERT(DecideAdmission(input) != AdmissionDecision::kRefuse);
  }));
}

Test(admission, whoever_may_wait_may_wait_less) {
  cr_assert(Holds("a shorter wait is not refused where a longer is not", [] {
    AdmissionInput input = FirstTry(Duration(*rc::gen::inRange(0, 900'000)),
                                    Duration(*rc::gen::inRange(0, 900'000)));
    input.is_retry = *rc::gen::arbitrary<bool>();
    if (DecideAdmission(input) != AdmissionDecision::kRefuse) {
      input.queue_wait -= Duration(
          *rc::gen::inRange(0, static_cast<int>(input.queue_wait.count()) + 1));
      RC_ASSERT(DecideAdmission(input) != AdmissionDecision::kRefuse);
    }
  }));
}

}  // namespace
}  // namespace pathcleat
