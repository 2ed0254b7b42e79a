// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief How long a request's work may take.
/// @ingroup calls
struct WorkTimes {
  Duration expected{0};    ///< until its answer
  Duration target{0};      ///< until which an answer has its full worth
  bool repeatable = true;  ///< what is ended early can be done again elsewhere
};

/// @brief When a host that is being stopped takes callers, lets upstreams
/// work, gives its last answers and ends. Fixed when the stop begins: neither
/// a second signal nor new settings move it. Not thread-safe.
///
/// A host knows when its process must end. So work that would not surely be
/// done by then is not begun, and work that is begun ends at its upstream
/// while there is still time to pass on how it ended.
/// @ingroup calls
class ShutdownSchedule {
 public:
  /// @brief The stop begins. Only the first call counts.
  /// @param grace from now until the process is killed.
  void Begin(Time now, Duration grace);

  /// @brief Whether the stop bounds a request that must be answered by
  /// `deadline`: its own time would end too late.
  bool ShortensDeadline(Time deadline) const;

  /// @brief Until when an upstream may work on a request that must be answered
  /// by `deadline`.
  Time WorkDeadline(Time deadline) const;

  /// @brief Whether a request that must be answered by `deadline` may be begun.
  bool MayStart(const WorkTimes& times, Time deadline, Time now) const;

  /// @brief Until when new callers are taken.
  Time accepts_until() const { return accepts_until_; }

  /// @brief When all that is still unanswered is answered with what is known.
  Time final_answer_time() const { return last_answers_; }

  /// @brief When the process ends, whatever is left.
  Time exit_time() const { return ends_; }

 private:
  bool begun_ = false;
  Time accepts_until_;
  Time work_ends_;
  Time last_answers_;
  Time ends_;
};

}  // namespace pathcleat
