// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/pick.hpp"

namespace pathcleat {

const char* ReasonOf(PickFailure failure) {
  switch (failure) {
    case PickFailure::kNone:
      return "none";
    case PickFailure::kNoUpstream:
      return "no_upstream";
    case PickFailure::kTooLate:
      return "too_late";
    case PickFailure::kOverloaded:
      return "overloaded";
    case PickFailure::kShiftCap:
      return "shift_cap";
    case PickFailure::kHostStops:
      return "host_stops";
    case PickFailure::kCrashesUpstreams:
      return "crashes_upstreams";
  }
  return "none";
}

}  // namespace pathcleat
