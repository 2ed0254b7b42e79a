// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <chrono>
#include <cstdint>

namespace pathcleat {

/// @brief Length of time, in microseconds.
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

/// @brief For tests: lets the clock leap as that of a machine does that was
/// suspended. Timers stand still meanwhile.
/// @ingroup core
void AdvanceBootClock(Duration leap);

/// @brief A point on this machine's BootClock; never sent to another host.
/// @ingroup core
using Time = BootClock::time_point;

/// @brief Wall-clock time in microseconds since the Unix epoch.
/// @ingroup core
std::uint64_t WallMicros();

/// @brief A duration in milliseconds, as a double for reports.
/// @ingroup core
double ToMilliseconds(Duration value);

}  // namespace pathcleat
