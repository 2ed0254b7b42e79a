// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <time.h>

#include <cstddef>
#include <vector>

namespace pathcleat {

/// @brief CPU time of this process so far, in microseconds.
inline double CpuMicros() {
  timespec value{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
  constexpr double kMicrosPerSecond = 1e6;
  constexpr double kNanosPerMicro = 1e3;
  return static_cast<double>(value.tv_sec) * kMicrosPerSecond +
         static_cast<double>(value.tv_nsec) / kNanosPerMicro;
}

/// @brief Mean CPU time of a call in microseconds, one value for each of
/// several runs of `calls` calls.
template <class Function>
std::vector<double> TimeCalls(std::size_t calls, Function&& function) {
  constexpr int kRuns = 5;
  std::vector<double> runs;
  for (int run = 0; run < kRuns; ++run) {
    const double start = CpuMicros();
    for (std::size_t i = 0; i < calls; ++i) {
      function(i);
    }
    runs.push_back((CpuMicros() - start) / static_cast<double>(calls));
  }
  return runs;
}

}  // namespace pathcleat
