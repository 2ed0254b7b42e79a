// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/verdict_state.hpp"

namespace pathcleat {

const char* ToString(VerdictState verdict) {
  switch (verdict) {
    case VerdictState::kUndecided:
      return "undecided";
    case VerdictState::kGood:
      return "good";
    case VerdictState::kBad:
      return "bad";
  }
  return "undecided";
}

}  // namespace pathcleat
