// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief The times at which a host that is shutting down stops accepting
/// callers, closes idle connections, ends the work of upstreams, gives its
/// final answers and exits. The times are fixed when the shutdown begins:
/// neither a second signal nor new settings change them. Not thread-safe.
///
/// A host has a fixed time by which its process must end. Once the shutdown has
/// begun, only work whose own deadline lies before that time is started, and
/// work in progress is ended at its upstream while there is still time to
/// report the outcome to the caller.
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
  /// started. How long the work is expected to take does not count: an estimate
  /// bounds no single request, and another host can take the request at once.
  bool MayStart(Time deadline) const { return !ShortensDeadline(deadline); }

  /// @brief The time at which the shutdown began.
  Time begun_at() const { return begun_at_; }

  /// @brief The time until which new connections are accepted: as long as a
  /// request with the shortest timeout of all routes may be started, and at
  /// most until closes_idle_at(). After it a caller goes to another host
  /// without sending a request that would be refused.
  Time AcceptsUntil(Duration shortest_timeout) const;

  /// @brief The time at which connections without a request are closed.
  Time closes_idle_at() const { return closes_idle_at_; }

  /// @brief The time at which all unanswered requests are answered with the
  /// outcome as far as it is known.
  Time final_answer_time() const { return final_answer_time_; }

  /// @brief The time at which the process exits, even if requests are
  /// unanswered.
  Time exit_time() const { return exit_time_; }

 private:
  bool begun_ = false;
  Time begun_at_;
  Time closes_idle_at_;
  Time work_deadline_;
  Time final_answer_time_;
  Time exit_time_;
};

}  // namespace pathcleat
