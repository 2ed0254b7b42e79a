// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "pathcleat/steer/config_state.hpp"
#include "pathcleat/steer/shift.hpp"

namespace pathcleat {

/// @brief State of a shift at one host.
/// @ingroup routing
struct ShiftStatus {
  ShiftPlan plan;
  double current_share = 0;
  /// Requests that would stay in this region without the shift.
  std::uint64_t offered = 0;
  /// Requests counted in `offered` that the shift sent to another region.
  std::uint64_t moved = 0;
  RampDecision last_decision = RampDecision::kHeldStaleData;
};

/// @brief The shifts in force that move traffic away from this host's own
/// region. Not thread-safe.
/// @ingroup routing
class ShiftTable {
 public:
  /// @brief Returns the state of a shift's target region.
  using TargetReader =
      std::function<ShiftTargetState(const std::string& service,
                                     const std::string& region)>;
  /// @brief Called after each change of a shift's ramp decision.
  using StepObserver = std::function<void(const ShiftStatus&)>;

  explicit ShiftTable(std::string own_region);

  /// @brief Adds the shifts of a configuration and removes those it lacks.
  void Sync(const ConfigState& config, Time now);

  /// @brief Advances the ramp of each shift. Call about once a second.
  void Advance(const TargetReader& target,
               const StepObserver& observer,
               Time now);

  /// @brief The control that decides which of a service's requests leave this
  /// region; null if no shift is in force.
  ShiftControl* Find(const std::string& service);

  std::vector<ShiftStatus> All() const;

 private:
  std::string own_region_;
  std::map<std::string, ShiftControl> controls_;  ///< by service
};

}  // namespace pathcleat
