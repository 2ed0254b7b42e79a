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

/// @brief The configuration at one version: the result of all changes up to
/// that version.
/// @ingroup steer
struct ConfigState {
  std::uint64_t version = 0;  ///< 0: no change has been applied to the settings
  std::set<std::string> drained_upstreams;
  std::set<std::string> drained_regions;
  std::map<std::pair<std::string, std::string>, ShiftPlan>
      shifts;  ///< by service and source region
  std::vector<AssignClientBlock>
      blocks;  ///< in order; later blocks override earlier ones
  RolloutStates rollouts;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version, drained_upstreams, drained_regions, shifts, blocks,
            rollouts);
  }
};

/// @brief Applies the next change. A change that is not in range only raises
/// the version, so that it does not keep later changes from being applied.
/// @return false, without any effect, unless the change's version is the
/// state's version + 1.
/// @ingroup steer
bool Apply(ConfigState& state, const ConfigChange& change);

}  // namespace pathcleat
