// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/refusal.hpp"

namespace pathcleat {

const char* ToString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNoOwner:
      return "no-owner";
    case RefusalReason::kNoCapacity:
      return "no-capacity";
    case RefusalReason::kWaitingFull:
      return "waiting-full";
    case RefusalReason::kTooLate:
      return "too-late";
    case RefusalReason::kDuplicate:
      return "duplicate";
    case RefusalReason::kCancelled:
      return "cancelled";
    case RefusalReason::kShiftCap:
      return "shift-cap";
    case RefusalReason::kRetryBudget:
      return "retry-budget";
    case RefusalReason::kStoreDown:
      return "store-down";
  }
  return "no-capacity";
}

}  // namespace pathcleat
