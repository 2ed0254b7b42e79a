// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/mechanism.hpp"

#include <array>

namespace pathcleat {
namespace {

struct NamedMechanism {
  Mechanism mechanism;
  std::string_view name;
};

constexpr std::array kNames = {
    NamedMechanism{Mechanism::kRegionShares, "region_shares"},
    NamedMechanism{Mechanism::kLearnedWarmth, "learned_warmth"},
    NamedMechanism{Mechanism::kKeyPlacement, "key_placement"},
    NamedMechanism{Mechanism::kAdmission, "admission"},
    NamedMechanism{Mechanism::kUsualLoad, "usual_load"},
    NamedMechanism{Mechanism::kAverageLoad, "average_load"},
    NamedMechanism{Mechanism::kFailover, "patience"},
    NamedMechanism{Mechanism::kCarryingCost, "carrying_cost"},
    NamedMechanism{Mechanism::kSlowness, "slowness"},
    NamedMechanism{Mechanism::kCrashBlock, "crash_block"},
    NamedMechanism{Mechanism::kUpstreamLimits, "upstream_limits"},
    NamedMechanism{Mechanism::kUpstreamBackoff, "upstream_backoff"},
    NamedMechanism{Mechanism::kUpstreamLeaving, "upstream_leaving"},
    NamedMechanism{Mechanism::kErrorShare, "error_share"},
    NamedMechanism{Mechanism::kForwarding, "forwarding"},
    NamedMechanism{Mechanism::kIsolationNews, "isolation_news"},
};

}  // namespace

std::string_view ToString(Mechanism mechanism) {
  for (const NamedMechanism& named : kNames) {
    if (named.mechanism == mechanism) {
      return named.name;
    }
  }
  return "unknown";
}

std::optional<Mechanism> ParseMechanism(std::string_view name) {
  for (const NamedMechanism& named : kNames) {
    if (named.name == name) {
      return named.mechanism;
    }
  }
  return std::nullopt;
}

std::vector<std::string_view> MechanismNames() {
  std::vector<std::string_view> names;
  names.reserve(kNames.size());
  for (const NamedMechanism& named : kNames) {
    names.push_back(named.name);
  }
  return names;
}

}  // namespace pathcleat
