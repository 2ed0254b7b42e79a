// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

namespace pathcleat {

/// @brief Why this host ended an exchange at an upstream that may have been
/// at work on it.
/// @ingroup calls
enum class AbortCause {
  kFailoverTimeout,  ///< silent for far longer than expected, another one asked
  kCallerLeft,       ///< the caller left, and the work may be repeated
  kDeadline,         ///< the caller's deadline or the route's time-out
  kSilentConnection,  ///< neither bytes nor acknowledgements came
  kBadAnswer,         ///< what came was no answer, or another request's
  kHostStops,         ///< a planned stop is over
};

/// @brief Name of the cause, as in the metrics.
const char* ToString(AbortCause cause);

}  // namespace pathcleat
