// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/calls/abort_cause.hpp"

namespace pathcleat {

const char* ToString(AbortCause cause) {
  switch (cause) {
    case AbortCause::kFailoverTimeout:
      return "patience";
    case AbortCause::kCallerLeft:
      return "caller-left";
    case AbortCause::kDeadline:
      return "deadline";
    case AbortCause::kSilentConnection:
      return "silent-link";
    case AbortCause::kBadAnswer:
      return "bad-answer";
    case AbortCause::kHostStops:
      return "host-stops";
    case AbortCause::kHandlerFailed:
      return "handler-failed";
  }
  return "";
}

}  // namespace pathcleat
