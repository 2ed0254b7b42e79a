// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

namespace pathcleat {

/// @brief Whether an upstream ran a request, as far as this host can tell.
/// @ingroup core
enum class RunOutcome : std::uint8_t {
  kAnswered = 0,  ///< ran, and the complete answer arrived
  kNotRun = 1,    ///< certainly was not run and will not be
  kUnknown = 2,   ///< may have run
};

/// @brief "answered", "not-run" or "unknown", as sent to callers.
/// @ingroup core
const char* ToString(RunOutcome outcome);

/// @brief Header that states the outcome in each answer to a caller.
/// @ingroup core
inline constexpr const char* kOutcomeHeader = "Pathcleat-Outcome";

}  // namespace pathcleat
