// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/break_cause.hpp"

namespace pathcleat {

const char* ToString(BreakCause cause) {
  switch (cause) {
    case BreakCause::kPatience:
      return "patience";
    case BreakCause::kCallerLeft:
      return "caller-left";
    case BreakCause::kDeadline:
      return "deadline";
    case BreakCause::kSilentLink:
      return "silent-link";
    case BreakCause::kBadAnswer:
      return "bad-answer";
    case BreakCause::kHostStops:
      return "host-stops";
  }
  return "";
}

}  // namespace pathcleat
