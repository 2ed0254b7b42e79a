// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "pathcleat/core/event.hpp"
#include "pathcleat/core/lock_rank.hpp"

namespace pathcleat {

/// @brief Keeps the newest events in memory for /v1/timeline and writes each
/// event as a JSON line to the log4cplus logger of its LogClass. Thread-safe.
/// @ingroup core
class EventLog {
 public:
  /// @param host name of the host, added to each event.
  /// @param capacity number of events kept in memory; older events are dropped.
  EventLog(std::string host, std::size_t capacity);

  /// @brief Adds a timestamp to an event, keeps the event and logs it.
  void Record(EventCode code,
              std::string subject,
              std::string text,
              EventFields fields = {});

  /// @brief Creates an event with the current time; does not keep or log it.
  Event MakeEvent(EventCode code,
                  std::string subject,
                  std::string text,
                  EventFields fields);

  /// @brief Keeps an event that has a timestamp and logs it under a class.
  void Write(Event event, LogClass log_class);

  /// @brief Copies the kept events, oldest first.
  std::vector<Event> Snapshot() const;

  /// @brief Clock for the timestamps of events and messages of this process.
  HybridClock& clock() { return clock_; }

 private:
  std::string host_;
  std::size_t capacity_;
  HybridClock clock_;
  mutable RankedMutex mutex_{LockRank::kEvents};
  std::deque<Event> events_;
};

/// @brief Log class of the lines that a logger of this name writes.
/// @ingroup core
LogClass LogClassOfLogger(const std::string& logger);

}  // namespace pathcleat
