// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/run_outcome.hpp"

namespace pathcleat {

const char* ToString(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kAnswered:
      return "answered";
    case RunOutcome::kNotRun:
      return "not-run";
    case RunOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace pathcleat
