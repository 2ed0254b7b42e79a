// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/admission.hpp"

#include <algorithm>

namespace pathcleat {

Duration PlaceOf(const AdmissionInput& input) {
  return input.usual_run / std::max(1, input.slots);
}

Admission Admit(const AdmissionInput& input) {
  const Duration spare = input.target_left - input.service;
  if (spare >= Duration::zero() && input.wait <= spare) {
    return Admission::kInTime;
  }
  const Duration place = PlaceOf(input);
  const Duration usual = input.target - input.usual_run;
  const Duration longest = input.came_back ? usual + place : usual;
  const bool may_be_late = input.came_back || spare < Duration::zero();
  return may_be_late && input.wait <= std::max(place, longest)
             ? Admission::kLate
             : Admission::kRefuse;
}

}  // namespace pathcleat
