// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/admission.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

constexpr Duration kTarget{400'000};
constexpr Duration kUsualRun{150'000};

AdmissionInput FirstAttempt(Duration wait, Duration service) {
  AdmissionInput input;
  input.queue_wait = wait;
  input.service_time = service;
  input.usual_run_time = kUsualRun;
  input.slots = 3;
  input.target_latency = kTarget;
  input.target_time_left = kTarget;
  return input;
}

Test(admission, first_attempt_waits_as_long_as_it_is_in_time) {
  const Duration service{160'000};
  cr_assert(DecideAdmission(FirstAttempt(kTarget - service, service)) ==
            AdmissionDecision::kAdmitInTime);
  cr_assert(
      DecideAdmission(FirstAttempt(kTarget - service + Duration(1), service)) ==
      AdmissionDecision::kRefuse);
}

// Fails with may_be_late always true, and with it always false.
Test(admission, request_with_long_run_time_waits_as_long_as_a_usual_one) {
  const Duration service{500'000};
  const Duration max_wait = kTarget - kUsualRun;
  cr_assert(DecideAdmission(FirstAttempt(max_wait, service)) ==
            AdmissionDecision::kAdmitLate);
  cr_assert(DecideAdmission(FirstAttempt(max_wait + Duration(1), service)) ==
            AdmissionDecision::kRefuse);
  const Duration in_time{350'000};
  cr_assert(DecideAdmission(FirstAttempt(max_wait, in_time)) ==
            AdmissionDecision::kRefuse);
}

// Fails if DecideAdmission admits every retry, and without the extra queue
// position.
Test(admission, retry_waits_one_position_longer_than_a_usual_first_attempt) {
  const Duration wait_per_request = kUsualRun / 3;
  AdmissionInput input =
      FirstAttempt(kTarget - kUsualRun + wait_per_request, Duration(160'000));
  input.is_retry = true;
  input.target_time_left = Duration(-600'000);
  cr_assert(DecideAdmission(input) == AdmissionDecision::kAdmitLate);
  input.queue_wait += Duration(1);
  cr_assert(DecideAdmission(input) == AdmissionDecision::kRefuse);
}

Test(admission, no_request_is_refused_while_a_slot_is_free) {
  cr_assert(Holds("no request is refused without a queue", [] {
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

Test(admission, shorter_wait_is_admitted_where_a_longer_one_is) {
  cr_assert(
      Holds("a request admitted to a wait is admitted to a shorter one", [] {
        AdmissionInput input =
            FirstAttempt(Duration(*rc::gen::inRange(0, 900'000)),
                         Duration(*rc::gen::inRange(0, 900'000)));
        input.is_retry = *rc::gen::arbitrary<bool>();
        if (DecideAdmission(input) != AdmissionDecision::kRefuse) {
          input.queue_wait -= Duration(*rc::gen::inRange(
              0, static_cast<int>(input.queue_wait.count()) + 1));
          RC_ASSERT(DecideAdmission(input) != AdmissionDecision::kRefuse);
        }
      }));
}

}  // namespace
}  // namespace pathcleat
