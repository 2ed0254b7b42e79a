// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/admission.hpp"

#include <algorithm>

namespace pathcleat {

Duration WaitPerQueuedRequest(const AdmissionInput& input) {
  return input.usual_run_time / std::max(1, input.slots);
}

AdmissionDecision DecideAdmission(const AdmissionInput& input) {
  const Duration slack = input.target_time_left - input.service_time;
  if (slack >= Duration::zero() && input.queue_wait <= slack) {
    return AdmissionDecision::kAdmitInTime;
  }
  const Duration wait_per_request = WaitPerQueuedRequest(input);
  const Duration usual_slack = input.target_latency - input.usual_run_time;
  const Duration max_wait =
      input.is_retry ? usual_slack + wait_per_request : usual_slack;
  const bool may_be_late = input.is_retry || slack < Duration::zero();
  return may_be_late && input.queue_wait <= std::max(wait_per_request, max_wait)
             ? AdmissionDecision::kAdmitLate
             : AdmissionDecision::kRefuse;
}

}  // namespace pathcleat
