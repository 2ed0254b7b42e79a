// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "pathcleat/core/hybrid_clock.hpp"
#include "pathcleat/steer/rollout_hold.hpp"
#include "pathcleat/steer/rollout_step.hpp"
#include "pathcleat/steer/shift.hpp"

namespace pathcleat {

/// @brief Drains an upstream or ends its drain. A drained upstream gets no new
/// work.
/// @ingroup steer
struct SetUpstreamDrain {
  std::string upstream;
  bool drained = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(upstream, drained);
  }
};

/// @brief Drains all upstreams of a region or ends their drain.
/// @ingroup steer
struct SetRegionDrain {
  std::string region;
  bool drained = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(region, drained);
  }
};

/// @brief Starts a shift. The new shift replaces the service's shift out of the
/// same region, if there is one.
/// @ingroup steer
struct StartShift {
  ShiftPlan plan;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(plan);
  }
};

/// @brief Ends a service's shift out of a region.
/// @ingroup steer
struct StopShift {
  std::string service;
  std::string from_region;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, from_region);
  }
};

/// @brief Maps a block of client addresses to the region that is nearest to
/// these clients.
/// @ingroup steer
struct AssignClientBlock {
  std::uint32_t first_address = 0;
  std::uint8_t prefix_length = 32;
  std::string region;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(first_address, prefix_length, region);
  }
};

/// @brief The operation of a command. Stored commands name it by its position,
/// so new operations are added at the end.
/// @ingroup steer
using ConfigOperation = std::variant<SetUpstreamDrain,
                                     SetRegionDrain,
                                     StartShift,
                                     StopShift,
                                     AssignClientBlock,
                                     RolloutStep,
                                     SetRolloutHold>;

/// @brief Whether all numbers of an operation, which another host may have
/// written, are in the ranges that their fields state.
/// @ingroup steer
bool IsInRange(const ConfigOperation& operation);

/// @brief One accepted change of the configuration.
/// @ingroup steer
struct ConfigChange {
  std::uint64_t version = 0;  ///< 1 for the first change; each change adds 1
  std::string command_id;     ///< unique to the operator's command
  HybridTime time;
  ConfigOperation operation;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, command_id, time, operation);
  }
};

}  // namespace pathcleat
