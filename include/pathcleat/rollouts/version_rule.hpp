// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <memory>
#include <set>
#include <string>

namespace pathcleat {

/// @brief Which versions of a service's upstreams a request may go to.
/// @ingroup rollouts
struct VersionRule {
  std::string only;  ///< empty: any that is not avoided
  std::set<std::string> avoided;
  /// For `only`: the part of that version's upstreams that get requests, so
  /// that these are as busy as the others of the service.
  double part = 1;

  bool Allows(const std::string& version) const {
    return only.empty() ? !avoided.contains(version) : version == only;
  }
};

/// @brief Null: any version.
/// @ingroup rollouts
using VersionRulePtr = std::shared_ptr<const VersionRule>;

}  // namespace pathcleat
