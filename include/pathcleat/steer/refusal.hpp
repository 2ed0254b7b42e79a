// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Why work was refused before it was run.
/// @ingroup steer
enum class RefusalReason {
  kNoOwner,      ///< no host may fill the upstreams asked for
  kNoCapacity,   ///< no usable upstream at all
  kWaitingFull,  ///< too much work of this priority or better waits
  kTooLate,      ///< the deadline cannot be met any more
  kDuplicate,    ///< this attempt was already taken
  kCancelled,    ///< the caller left
  kShiftCap,     ///< leaving the place would pass a shift's cap
  kRetryBudget,  ///< retries have used up their share
  kStoreDown,    ///< the key's claim cannot be kept
};

/// @brief Stable text of a reason.
/// @ingroup steer
const char* ToString(RefusalReason reason);

/// @brief A refusal: certain not to have been run.
/// @ingroup steer
struct Refusal {
  RefusalReason reason = RefusalReason::kNoCapacity;
  Duration retry_after{0};  ///< when a new try makes sense
};

}  // namespace pathcleat
