// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "pathcleat/core/event.hpp"
#include "pathcleat/core/lock_rank.hpp"

namespace pathcleat {

/// @brief Keeps the newest events in memory for the time line and writes each
/// as a JSON line through log4cplus, to a logger for each class. Thread-safe.
/// @ingroup core
class EventLog {
 public:
  /// @param host seat named in each event.
  /// @param capacity number of events kept; older ones are dropped.
  EventLog(std::string host, std::size_t capacity);

  /// @brief Stamps, keeps and logs one event.
  void Record(EventCode code,
              std::string subject,
              std::string text,
              EventFields fields = {});

  /// @brief An event as of now, not kept or logged yet.
  Event MakeEvent(EventCode code,
                  std::string subject,
                  std::string text,
                  EventFields fields);

  /// @brief Keeps and logs a stamped event.
  void Write(Event event, LogClass log_class);

  /// @brief The kept events, oldest first.
  std::vector<Event> Snapshot() const;

  /// @brief The clock that stamps events and messages of this process.
  HybridClock& clock() { return clock_; }

 private:
  std::string host_;
  std::size_t capacity_;
  HybridClock clock_;
  mutable RankedMutex mutex_{LockRank::kEvents};
  std::deque<Event> events_;
};

/// @brief The class of the lines that go through a logger of this name.
/// @ingroup core
LogClass LogClassOfLogger(const std::string& logger);

}  // namespace pathcleat
