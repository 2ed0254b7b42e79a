// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "pathcleat/steer/config_state.hpp"
#include "pathcleat/steer/shift.hpp"

namespace pathcleat {

/// @brief A shift as one host sees it.
/// @ingroup routing
struct ShiftStatus {
  ShiftPlan plan;
  double current_share = 0;
  std::uint64_t offered = 0;  ///< requests of the place, at this host
  std::uint64_t moved = 0;    ///< of these, sent elsewhere
  RampDecision last_decision = RampDecision::kHeldStaleData;
};

/// @brief The shifts in force, as they concern this host: those that lead
/// away from its own region. Not thread-safe.
/// @ingroup routing
class ShiftTable {
 public:
  /// @brief Tells the state of a shift's target region.
  using TargetReader =
      std::function<ShiftTargetState(const std::string& service,
                                     const std::string& region)>;
  /// @brief Told of each change of a shift's pace.
  using StepObserver = std::function<void(const ShiftStatus&)>;

  explicit ShiftTable(std::string own_region);

  /// @brief Takes the shifts of a configuration over.
  void Sync(const ConfigState& config, Time now);

  /// @brief Decides the pace of each. Call about once a second.
  void Advance(const TargetReader& target,
               const StepObserver& observer,
               Time now);

  /// @brief The gate that a service's requests pass before they leave this
  /// region; null if no shift is in force.
  ShiftControl* Find(const std::string& service);

  std::vector<ShiftStatus> All() const;

 private:
  std::string own_region_;
  std::map<std::string, ShiftControl> gates_;  ///< by service
};

}  // namespace pathcleat
