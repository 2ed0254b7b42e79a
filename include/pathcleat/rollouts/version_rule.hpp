// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <memory>
#include <set>
#include <string>

namespace pathcleat {

/// @brief Versions of a service's upstreams that a request may go to.
/// @ingroup rollouts
struct VersionRule {
  std::string required_version;  ///< empty: the sets below apply
  /// With an empty required_version; empty: any version that is not excluded.
  std::set<std::string> allowed_versions;
  std::set<std::string> excluded_versions;
  /// With required_version: the share of that version's upstreams, in each
  /// region, that get requests. The few requests of a trial are not spread over
  /// all upstreams of the version, so that the upstreams that get requests are
  /// as busy as those of other versions.
  double upstream_share = 1;

  bool allows_nothing = false;  ///< no version may get the request

  bool Allows(const std::string& version) const {
    if (allows_nothing) {
      return false;
    }
    if (!required_version.empty()) {
      return version == required_version;
    }
    return (allowed_versions.empty() || allowed_versions.contains(version)) &&
           !excluded_versions.contains(version);
  }
};

/// @brief Shared version rule; null: a request may go to any version.
/// @ingroup rollouts
using VersionRulePtr = std::shared_ptr<const VersionRule>;

}  // namespace pathcleat
