// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>

#include "pathcleat/core/event_log.hpp"
#include "pathcleat/core/memory_budget.hpp"
#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Logs when a memory budget is used up and when there is memory again,
/// at most one line each per kQuietTime.
/// @ingroup telemetry
class MemoryMonitor {
 public:
  /// The budget counts as available once nothing was refused or given up for
  /// this long.
  static constexpr Duration kQuietTime{10'000'000};

  /// @param host subject of the events.
  MemoryMonitor(EventLog& events, std::string host)
      : events_(events), host_(std::move(host)) {}

  /// @brief Called several times a second.
  void Tick(const MemoryBudget& budget, Time now);

 private:
  EventLog& events_;
  std::string host_;
  std::uint64_t refused_ = 0;
  std::uint64_t reclaimed_ = 0;
  std::uint64_t refused_at_start_ = 0;    ///< of the present shortage
  std::uint64_t reclaimed_at_start_ = 0;  ///< of the present shortage
  bool is_short_ = false;
  Time short_since_;
  Time last_shortage_;
};

}  // namespace pathcleat
