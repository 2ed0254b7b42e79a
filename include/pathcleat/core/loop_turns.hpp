// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <cstddef>
#include <functional>

#include "pathcleat/core/histogram.hpp"
#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Kinds of work that one turn of the event loop does.
/// @ingroup core
enum class LoopTask {
  kRequest,         ///< a caller's request: its route and the first choice
  kUpstreamAnswer,  ///< an answer of an upstream
  kConfig,          ///< decoding and applying a configuration
  kUpstreamList,    ///< decoding and applying a change of the upstream list
  kTick,            ///< the periodic work of the host
};

/// @brief All kinds of work.
/// @ingroup core
inline constexpr std::array kLoopTasks = {
    LoopTask::kRequest, LoopTask::kUpstreamAnswer, LoopTask::kConfig,
    LoopTask::kUpstreamList, LoopTask::kTick};

/// @brief Name of the kind, as printed in logs and metrics.
/// @ingroup core
const char* ToString(LoopTask task);

/// @brief How long the event loop spends in one turn, by kind of work, and how
/// late it runs timers. While a turn lasts, everything else that is ready
/// waits. Not thread-safe.
/// @ingroup core
class LoopTurns {
 public:
  using OnSlow = std::function<void(LoopTask, Duration)>;

  /// @brief Sets a function that is called for each turn of kSlowTurn or more.
  void SetOnSlow(OnSlow on_slow) { on_slow_ = std::move(on_slow); }

  void Add(LoopTask task, Duration duration);

  /// @brief Records by how much a timer fired too late.
  void AddDelay(Duration delay) { delays_.Add(delay); }

  const Histogram& Of(LoopTask task) const { return turns_.at(IndexOf(task)); }
  Duration Longest(LoopTask task) const { return longest_.at(IndexOf(task)); }
  const Histogram& delays() const { return delays_; }

 private:
  static std::size_t IndexOf(LoopTask task) {
    return static_cast<std::size_t>(task);
  }

  std::array<Histogram, kLoopTasks.size()> turns_;
  std::array<Duration, kLoopTasks.size()> longest_{};
  Histogram delays_;
  OnSlow on_slow_;
};

/// @brief A turn that lasts this long is reported.
/// @ingroup core
inline constexpr Duration kSlowTurn{250'000};

/// @brief Records the time from its construction to its destruction as one
/// turn.
/// @ingroup core
class LoopTurnTimer {
 public:
  /// @param spent time already spent on the same work in this turn.
  LoopTurnTimer(LoopTurns& turns, LoopTask task, Duration spent = {})
      : turns_(turns), task_(task), started_at_(BootClock::now() - spent) {}
  ~LoopTurnTimer() { turns_.Add(task_, BootClock::now() - started_at_); }
  LoopTurnTimer(const LoopTurnTimer&) = delete;
  LoopTurnTimer& operator=(const LoopTurnTimer&) = delete;

 private:
  LoopTurns& turns_;
  LoopTask task_;
  Time started_at_;
};

}  // namespace pathcleat
