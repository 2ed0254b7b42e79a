// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <chrono>
#include <cstdint>

namespace pathcleat {

/// @brief Time span in microseconds.
/// @ingroup core
using Duration = std::chrono::microseconds;

/// @brief A clock that also runs while the process is paused or the machine
/// is suspended (CLOCK_BOOTTIME), so that a lease cannot outlive a pause.
/// @ingroup core
struct BootClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;  // NOLINT: named by the standard
  static time_point now();
};

/// @brief For tests: advances BootClock as if the machine had been suspended.
/// Timers do not advance.
/// @ingroup core
void AdvanceBootClock(Duration amount);

/// @brief Time of this machine's BootClock; never sent to another host.
/// @ingroup core
using Time = BootClock::time_point;

/// @brief Current wall-clock time, in microseconds since the Unix epoch.
/// @ingroup core
std::uint64_t WallMicros();

/// @brief Converts a duration to milliseconds, for reports.
/// @ingroup core
double ToMilliseconds(Duration value);

}  // namespace pathcleat
