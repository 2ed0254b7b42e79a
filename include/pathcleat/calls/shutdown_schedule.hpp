// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief How long the work of a request may take.
/// @ingroup calls
struct WorkTimes {
  Duration expected{0};    ///< expected time from sending to the answer
  Duration target{0};      ///< target latency of the route
  bool repeatable = true;  ///< may run again at another upstream if ended early
};

/// @brief The times at which a host that is shutting down stops accepting
/// callers, ends the work of upstreams, gives its final answers and exits. The
/// times are fixed when the shutdown begins: neither a second signal nor new
/// settings change them. Not thread-safe.
///
/// A host has a fixed time by which its process must end. Work that might not
/// be done by then is not started, and work in progress is ended at its
/// upstream while there is still time to report the outcome to the caller.
/// @ingroup calls
class ShutdownSchedule {
 public:
  /// @brief Begins the shutdown. Only the first call has an effect.
  /// @param grace from now until the process is killed.
  void Begin(Time now, Duration grace);

  /// @brief Whether the shutdown shortens the time of a request that must be
  /// answered by `deadline`.
  bool ShortensDeadline(Time deadline) const;

  /// @brief The time until which an upstream may work on a request that must be
  /// answered by `deadline`.
  Time WorkDeadline(Time deadline) const;

  /// @brief Whether a request that must be answered by `deadline` may be
  /// started.
  bool MayStart(const WorkTimes& times, Time deadline, Time now) const;

  /// @brief The time at which the shutdown began.
  Time begun_at() const { return begun_at_; }

  /// @brief The time until which new callers are accepted.
  Time accepts_until() const { return accepts_until_; }

  /// @brief The time at which all unanswered requests are answered with the
  /// outcome as far as it is known.
  Time final_answer_time() const { return final_answer_time_; }

  /// @brief The time at which the process exits, even if requests are
  /// unanswered.
  Time exit_time() const { return exit_time_; }

 private:
  bool begun_ = false;
  Time begun_at_;
  Time accepts_until_;
  Time work_deadline_;
  Time final_answer_time_;
  Time exit_time_;
};

}  // namespace pathcleat
