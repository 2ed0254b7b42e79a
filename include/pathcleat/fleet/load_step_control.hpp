// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Largest load step; a step takes two bits of a domain report.
/// @ingroup fleet
inline constexpr std::uint8_t kMaxLoadStep = 3;

/// @brief Share of its callers that a host at a load step keeps: 1 at step 0.
/// @ingroup fleet
double LoadShare(std::uint8_t step);

/// @brief Decides from a host's own utilization how many callers the other
/// hosts should send to it. The host decides itself, so that all hosts use the
/// same step and differ only while a report is on its way. Not thread-safe.
/// @ingroup fleet
class LoadStepControl {
 public:
  /// @brief Adds a measurement. Call a few times a second.
  /// @param utilization share of the capacity in use, averaged over 1 to 2 s.
  /// @return the step to report from now on.
  std::uint8_t Update(double utilization, Time now);

  std::uint8_t step() const { return step_; }

 private:
  void MoveTo(std::uint8_t step, Time now);

  std::uint8_t step_ = 0;
  std::optional<Time> changed_;     ///< last change of the step
  std::optional<Time> high_since_;  ///< while the utilization is high
  Time last_above_return_;  ///< last time that a return was not possible
};

}  // namespace pathcleat
