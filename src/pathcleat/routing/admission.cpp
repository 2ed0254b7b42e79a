// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/admission.hpp"

#include <algorithm>

namespace pathcleat {

Duration WaitPerQueuedRequest(const AdmissionInput& input) {
  return input.usual_run_time / std::max(1, input.slots);
}

AdmissionDecision DecideAdmission(const AdmissionInput& input) {
  const Duration spare = input.target_time_left - input.service_time;
  if (spare >= Duration::zero() && input.queue_wait <= spare) {
    return AdmissionDecision::kAdmitInTime;
  }
  const Duration place = WaitPerQueuedRequest(input);
  const Duration usual = input.target_latency - input.usual_run_time;
  const Duration longest = input.is_retry ? usual + place : usual;
  const bool may_be_late = input.is_retry || spare < Duration::zero();
  return may_be_late && input.queue_wait <= std::max(place, longest)
             ? AdmissionDecision::kAdmitLate
             : AdmissionDecision::kRefuse;
}

}  // namespace pathcleat
