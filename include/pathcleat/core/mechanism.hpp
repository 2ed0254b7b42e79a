// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pathcleat {

/// @brief Parts of the policy that can be switched off one by one, to measure
/// what each is worth (tools/ablate.py). No promise rests on any of them, but
/// for kCrashBlock and kUpstreamLimits.
/// @ingroup core
enum class Mechanism {
  kRegionShares,    ///< keys stay in their callers' region while it has room
  kLearnedWarmth,   ///< where a key is quick is learned from run times
  kKeyPlacement,    ///< a key stays with a few upstreams
  kAdmission,       ///< what would be late for its waiting is told to come back
  kUsualLoad,       ///< the usual load by others is remembered
  kAverageLoad,     ///< an upstream not heard of counts as busy as others
  kPatience,        ///< repeatable work leaves a silent upstream
  kCarryingCost,    ///< bytes between regions count in the choice
  kSlowness,        ///< an upstream's speed is learned
  kCrashBlock,      ///< requests that crash upstreams are kept from them
  kUpstreamLimits,  ///< limits that upstreams name in their answers are kept
};

/// @brief Stable name of a mechanism, as settings give it.
/// @ingroup core
std::string_view ToString(Mechanism mechanism);

/// @brief The mechanism of a name, if there is one.
/// @ingroup core
std::optional<Mechanism> ParseMechanism(std::string_view name);

/// @brief All names, for messages.
/// @ingroup core
std::vector<std::string_view> MechanismNames();

/// @brief Which mechanisms are on: all that are not switched off.
/// @ingroup core
struct PolicySwitches {
  std::set<Mechanism> disabled;

  bool IsEnabled(Mechanism mechanism) const {
    return !disabled.contains(mechanism);
  }
};

}  // namespace pathcleat
