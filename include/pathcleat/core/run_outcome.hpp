// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

namespace pathcleat {

/// @brief What is known of a request's run at an upstream.
/// @ingroup core
enum class RunOutcome : std::uint8_t {
  kAnswered = 0,  ///< it ran, and here is its whole answer
  kNotRun = 1,    ///< it certainly was not run and never will be
  kUnknown = 2,   ///< it may have run
};

/// @brief "answered", "not-run" or "unknown", as callers are told.
/// @ingroup core
const char* ToString(RunOutcome outcome);

}  // namespace pathcleat
