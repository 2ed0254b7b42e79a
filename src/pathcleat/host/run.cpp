// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/run.hpp"

#include <utility>

namespace pathcleat {

RunResult NotRun(RefusalReason reason, Duration retry_after, std::string note) {
  RunResult result;
  result.outcome = RunOutcome::kNotRun;
  result.refusal = {reason, retry_after};
  result.note = std::move(note);
  return result;
}

RunResult MayHaveRun(std::string note) {
  RunResult result;
  result.outcome = RunOutcome::kUnknown;
  result.note = std::move(note);
  return result;
}

}  // namespace pathcleat
