// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

namespace pathcleat {

/// @brief Why this host aborted an exchange while the upstream may have been
/// working on the request.
/// @ingroup calls
enum class AbortCause {
  kFailoverTimeout,   ///< no answer for far longer than expected; failed over
  kCallerLeft,        ///< the caller left, and the request is repeatable
  kDeadline,          ///< the caller's deadline or the route's time-out
  kSilentConnection,  ///< neither bytes nor TCP acknowledgements arrived
  kBadAnswer,         ///< invalid answer, or one to another request
  kHostStops,         ///< the grace time of a planned stop is over
};

/// @brief The name of the cause in the metrics.
const char* ToString(AbortCause cause);

}  // namespace pathcleat
