// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/version_rule_name.hpp"

namespace pathcleat {

const char* NameOf(const VersionRule* rule, const std::string& new_version) {
  if (rule == nullptr) {
    return "only_version";
  }
  if (!rule->required_version.empty()) {
    return "canary";
  }
  return rule->Allows(new_version) ? "promoted" : "other_versions";
}

}  // namespace pathcleat
