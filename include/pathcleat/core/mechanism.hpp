// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pathcleat {

/// @brief Parts of the routing policy that can be switched off one by one, to
/// measure the benefit of each (tools/ablate.py). Switching off kCrashBlock,
/// kUpstreamLimits, kUpstreamBackoff or kUpstreamLeaving also ends a guarantee
/// to users; no other mechanism affects a guarantee.
/// @ingroup core
enum class Mechanism {
  kRegionShares,     ///< keys stay in their callers' region while it has
                     ///< capacity
  kLearnedWarmth,    ///< run times show which upstreams are warm for a key
  kKeyPlacement,     ///< a key is routed to a few upstreams only
  kAdmission,        ///< requests that would wait too long are refused
                     ///< with a retry time
  kUsualLoad,        ///< the estimated load by other hosts decays to its
                     ///< usual value, not to zero
  kAverageLoad,      ///< an upstream without reports is assumed to have
                     ///< the average load
  kFailover,         ///< a repeatable request fails over if its upstream
                     ///< stays silent
  kCarryingCost,     ///< the cost of transfers between regions counts in
                     ///< the choice of upstream
  kSlowness,         ///< an upstream's speed is estimated from run times
  kCrashBlock,       ///< requests that crash upstreams are blocked
  kUpstreamLimits,   ///< rate limits in the answers of upstreams are
                     ///< enforced
  kUpstreamBackoff,  ///< an upstream that rejects requests gets none for the
                     ///< time that it asks for
  kUpstreamLeaving,  ///< an upstream that announces in answers that it leaves
                     ///< gets no requests
  kErrorShare,       ///< an upstream that answers with errors or rejects
                     ///< requests is chosen less
  kForwarding,       ///< a host that does not reach the upstreams forwards
                     ///< requests to a host that does
  kIsolationNews,  ///< a host that does not reach the upstreams says so to the
                   ///< others, and callers are not sent to it
};

/// @brief Stable name of a mechanism, as used in settings.
/// @ingroup core
std::string_view ToString(Mechanism mechanism);

/// @brief Looks up a mechanism by its name.
/// @ingroup core
std::optional<Mechanism> ParseMechanism(std::string_view name);

/// @brief Names of all mechanisms, for error messages.
/// @ingroup core
std::vector<std::string_view> MechanismNames();

/// @brief Set of enabled mechanisms: all that are not disabled.
/// @ingroup core
struct PolicySwitches {
  std::set<Mechanism> disabled;

  bool IsEnabled(Mechanism mechanism) const {
    return !disabled.contains(mechanism);
  }
};

}  // namespace pathcleat
