// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "pathcleat/core/hybrid_clock.hpp"

namespace pathcleat {

/// @brief How far a version rollout has come. The last two are final.
/// @ingroup steer
enum class RolloutPhase : std::uint8_t {
  kRunning,     ///< a small share of the requests tries the new version
  kPromoted,    ///< all requests go to the new version; the old one finishes
  kCompleted,   ///< the old version may end at once
  kRolledBack,  ///< nothing more goes to the new version
};

/// @brief Stable lower-case name of a phase, as logs and operators see it.
/// @ingroup steer
const char* ToString(RolloutPhase phase);

/// @brief One decision on a rollout, as a change of the configuration.
/// @ingroup steer
struct RolloutStep {
  std::string service;
  std::uint64_t order_id = 0;  ///< which one; 0: whichever is in force
  std::string version;         ///< that the order asks for
  RolloutPhase phase = RolloutPhase::kRunning;
  std::set<std::string>
      replaced_versions;  ///< for kPromoted: versions to leave

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, order_id, version, phase, replaced_versions);
  }
};

/// @brief What has been decided on a service's newest rollout.
/// @ingroup steer
struct RolloutState {
  std::uint64_t order_id = 0;
  std::string version;
  RolloutPhase phase = RolloutPhase::kRunning;
  HybridTime start_time;
  std::set<std::string> replaced_versions;

  bool IsFinal() const {
    return phase == RolloutPhase::kCompleted ||
           phase == RolloutPhase::kRolledBack;
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(order_id, version, phase, start_time, replaced_versions);
  }
};

/// @brief By service.
/// @ingroup steer
using RolloutStates = std::map<std::string, RolloutState>;

/// @brief Takes a decision over, if it may follow what was decided before: a
/// newer order begins anew, and what is final stays as it is. Of decisions that
/// contradict each other the first one holds.
/// @return whether it was taken over.
/// @ingroup steer
bool Apply(RolloutStates& states, const RolloutStep& step, HybridTime time);

}  // namespace pathcleat
