// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Maximum time of a rollout; sums of such a time and a time of the
/// clock do not overflow.
/// @ingroup rollouts
inline constexpr Duration kMaxRolloutTimeout = std::chrono::hours(24 * 365);

/// @brief An operator's order to move a service's traffic to a version.
/// @ingroup rollouts
struct RolloutOrder {
  std::string service;
  std::string version;
  Duration timeout{
      0};  ///< longest time from the order to its completion or rollback
  std::uint64_t id = 0;  ///< increases with each order of the service

  bool operator==(const RolloutOrder&) const = default;

  template <class Archive>
  void save(Archive& archive) const {  // NOLINT: named by cereal
    archive(service, version, static_cast<std::int64_t>(timeout.count()), id);
  }
  template <class Archive>
  void load(Archive& archive) {  // NOLINT: named by cereal
    std::int64_t micros = 0;
    archive(service, version, micros, id);
    timeout =
        std::clamp(Duration(micros), Duration::zero(), kMaxRolloutTimeout);
  }
};

}  // namespace pathcleat
