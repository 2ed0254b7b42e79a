// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pathcleat/steer/config_change.hpp"

namespace pathcleat {

/// @brief The configuration at one version: all changes up to it, applied.
/// @ingroup steer
struct ConfigState {
  std::uint64_t version = 0;  ///< 0: what the settings say
  std::set<std::string> drained_upstreams;
  std::set<std::string> drained_regions;
  std::map<std::pair<std::string, std::string>, ShiftPlan>
      shifts;                             ///< by service and region left
  std::vector<AssignClientBlock> blocks;  ///< in order; later ones win
  RolloutStates rollouts;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, drained_upstreams, drained_regions, shifts, blocks,
            rollouts);
  }
};

/// @brief Applies the next change.
/// @return false, and nothing changed, unless it is version + 1.
/// @ingroup steer
bool Apply(ConfigState& state, const ConfigChange& change);

}  // namespace pathcleat
