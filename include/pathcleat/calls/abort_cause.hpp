// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

namespace pathcleat {

/// @brief Why this host aborted an exchange while the upstream may have been
/// working on the request.
/// @ingroup calls
enum class AbortCause {
  kFailoverTimeout,   ///< no answer for far longer than expected, so the
                      ///< request was sent to another upstream
  kCallerLeft,        ///< the caller left, and the request is repeatable
  kDeadline,          ///< the caller's deadline or the route's time-out passed
  kSilentConnection,  ///< neither bytes nor TCP acknowledgements arrived
  kBadAnswer,         ///< the answer is invalid or is for another request
  kHostStops,         ///< the grace time of a planned stop is nearly over
  kHandlerFailed,     ///< the handling of the request threw an exception
};

/// @brief The name of the cause in the metrics.
const char* ToString(AbortCause cause);

}  // namespace pathcleat
