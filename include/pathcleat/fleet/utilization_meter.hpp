// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Share of the processor time of a host that its process uses, averaged
/// over 2 s. Not thread-safe.
/// @ingroup fleet
class UtilizationMeter {
 public:
  /// @param cpu_cores that the host may use, greater than 0.
  explicit UtilizationMeter(double cpu_cores) : cpu_cores_(cpu_cores) {}

  /// @brief Adds a reading of the process's counter. Call a few times a second.
  /// @param cpu_time processor time since the process started.
  /// @return the utilization, a share of 1; more if the machine lends time.
  double Update(Duration cpu_time, Time now);

 private:
  double cpu_cores_;
  Duration cpu_time_{0};
  Time updated_;
  double utilization_ = 0;
};

}  // namespace pathcleat
