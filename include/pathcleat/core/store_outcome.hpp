// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

namespace pathcleat {

/// @brief How a call to the platform's store ended.
/// @ingroup core
enum class StoreOutcome {
  kDone,         ///< carried out
  kConflict,     ///< the condition did not hold; nothing was changed
  kNotDone,      ///< certainly not carried out: refused or not sent
  kUnknown,      ///< may have been carried out, or may still be
                 ///< carried out later
  kHistoryGone,  ///< a watch requested changes that the store no longer
                 ///< keeps
};

/// @brief Stable lower-case name of an outcome.
/// @ingroup core
const char* ToString(StoreOutcome outcome);

}  // namespace pathcleat
