// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/store_outcome.hpp"

namespace pathcleat {

const char* ToString(StoreOutcome outcome) {
  switch (outcome) {
    case StoreOutcome::kDone:
      return "done";
    case StoreOutcome::kConflict:
      return "conflict";
    case StoreOutcome::kNotDone:
      return "not-done";
    case StoreOutcome::kUnknown:
      return "unknown";
    case StoreOutcome::kHistoryGone:
      return "history-gone";
  }
  return "unknown";
}

}  // namespace pathcleat
