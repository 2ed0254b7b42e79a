// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "pathcleat/core/hybrid_clock.hpp"

namespace pathcleat {

/// @brief Progress of a version rollout. The last two phases are final.
/// @ingroup steer
enum class RolloutPhase : std::uint8_t {
  kRunning,     ///< a small share of requests goes to the new version
  kPromoted,    ///< old versions finish their work and get no new requests
  kCompleted,   ///< upstreams of the old versions may end at once
  kRolledBack,  ///< no more requests go to the new version
};

/// @brief Stable lower-case name of a phase, as used in logs and shown to
/// operators.
/// @ingroup steer
const char* ToString(RolloutPhase phase);

/// @brief One decision on a rollout, stored as a change of the configuration.
/// @ingroup steer
struct RolloutStep {
  std::string service;
  std::uint64_t order_id =
      0;  ///< order that the step belongs to; 0: the current order
  std::string version;  ///< version that the order asks for
  RolloutPhase phase = RolloutPhase::kRunning;
  /// Versions other than the new one that the deciding host has listed.
  std::set<std::string> replaced_versions;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(service, order_id, version, phase, replaced_versions);
  }
};

/// @brief State of a service's newest rollout, after all decisions so far.
/// @ingroup steer
struct RolloutState {
  std::uint64_t order_id = 0;
  std::string version;
  RolloutPhase phase = RolloutPhase::kRunning;
  HybridTime start_time;
  /// Versions that served the service when the order started. Empty if none was
  /// listed. The new version alone if it was the one that served.
  std::set<std::string> replaced_versions;
  bool held = false;  ///< by an operator: neither promoted nor completed
  std::uint64_t log_version = 0;  ///< version of the log with the last decision

  bool IsFinal() const {
    return phase == RolloutPhase::kCompleted ||
           phase == RolloutPhase::kRolledBack;
  }
  bool IsHeld() const { return held && !IsFinal(); }

  /// @brief Versions that serve requests without a limit in this phase; empty
  /// if they are not known.
  std::set<std::string> ServingVersions() const {
    const bool is_replaced =
        phase == RolloutPhase::kPromoted || phase == RolloutPhase::kCompleted;
    return is_replaced ? std::set<std::string>{version} : replaced_versions;
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(order_id, version, phase, start_time, replaced_versions, held,
            log_version);
  }
};

/// @brief Rollout states by service.
/// @ingroup steer
using RolloutStates = std::map<std::string, RolloutState>;

/// @brief Applies a decision if it is a valid successor of the current state: a
/// newer order starts a new rollout, and a final phase never changes. Of two
/// contradicting decisions the first is kept; a hold contradicts a later
/// promotion or completion.
/// @return whether the decision was applied.
/// @ingroup steer
bool Apply(RolloutStates& states, const RolloutStep& step, HybridTime time);

}  // namespace pathcleat
