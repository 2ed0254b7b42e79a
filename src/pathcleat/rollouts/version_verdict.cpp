// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/version_verdict.hpp"

namespace pathcleat {

const char* ToString(VersionVerdict verdict) {
  switch (verdict) {
    case VersionVerdict::kUndecided:
      return "undecided";
    case VersionVerdict::kGood:
      return "good";
    case VersionVerdict::kBad:
      return "bad";
  }
  return "undecided";
}

}  // namespace pathcleat
