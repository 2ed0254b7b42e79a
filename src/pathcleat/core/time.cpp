// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/time.hpp"

#include <time.h>

#include <atomic>

namespace pathcleat {
namespace {

std::atomic<Duration::rep> offset_micros{0};

}  // namespace

void AdvanceBootClock(Duration amount) {
  offset_micros += amount.count();
}

BootClock::time_point BootClock::now() {
  timespec value{};
  clock_gettime(CLOCK_BOOTTIME, &value);
  const auto elapsed = std::chrono::seconds(value.tv_sec) +
                       std::chrono::nanoseconds(value.tv_nsec);
  return time_point(std::chrono::duration_cast<Duration>(elapsed) +
                    Duration(offset_micros));
}

std::uint64_t WallMicros() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Duration>(since_epoch).count());
}

double ToMilliseconds(Duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

}  // namespace pathcleat
