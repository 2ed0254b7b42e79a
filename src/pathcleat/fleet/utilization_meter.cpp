// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/utilization_meter.hpp"

#include <cmath>
#include <utility>

namespace pathcleat {
namespace {

// Processor quotas are enforced in periods of 100 ms, so shorter averages of a
// host with a tenth of a core swing between 0 and 1.
constexpr double kAverageSeconds = 2;

}  // namespace

double UtilizationMeter::Update(Duration cpu_time, Time now) {
  using Seconds = std::chrono::duration<double>;
  const Duration used = cpu_time - std::exchange(cpu_time_, cpu_time);
  const Time last = std::exchange(updated_, now);
  const double elapsed = Seconds(now - last).count();
  if (last == Time() || elapsed <= 0) {
    return utilization_;
  }
  const double current = Seconds(used).count() / elapsed / cpu_cores_;
  utilization_ +=
      (current - utilization_) * (1 - std::exp(-elapsed / kAverageSeconds));
  return utilization_;
}

}  // namespace pathcleat
