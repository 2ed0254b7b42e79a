// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/mechanism.hpp"

#include <array>

namespace pathcleat {
namespace {

struct Named {
  Mechanism mechanism;
  std::string_view name;
};

constexpr std::array kNames = {
    Named{Mechanism::kRegionShares, "region_shares"},
    Named{Mechanism::kLearnedWarmth, "learned_warmth"},
    Named{Mechanism::kKeyPlacement, "key_placement"},
    Named{Mechanism::kAdmission, "admission"},
    Named{Mechanism::kUsualLoad, "usual_load"},
    Named{Mechanism::kAverageLoad, "average_load"},
    Named{Mechanism::kPatience, "patience"},
    Named{Mechanism::kCarryingCost, "carrying_cost"},
    Named{Mechanism::kSlowness, "slowness"},
    Named{Mechanism::kCrashBlock, "crash_block"},
    Named{Mechanism::kUpstreamLimits, "upstream_limits"},
};

}  // namespace

std::string_view ToString(Mechanism mechanism) {
  for (const Named& named : kNames) {
    if (named.mechanism == mechanism) {
      return named.name;
    }
  }
  return "unknown";
}

std::optional<Mechanism> ParseMechanism(std::string_view name) {
  for (const Named& named : kNames) {
    if (named.name == name) {
      return named.mechanism;
    }
  }
  return std::nullopt;
}

std::vector<std::string_view> MechanismNames() {
  std::vector<std::string_view> names;
  names.reserve(kNames.size());
  for (const Named& named : kNames) {
    names.push_back(named.name);
  }
  return names;
}

}  // namespace pathcleat
