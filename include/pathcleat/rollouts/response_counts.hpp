// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <algorithm>
#include <cstdint>

#include "pathcleat/core/saturated.hpp"

namespace pathcleat {

/// @brief Responses of one kind, and how many of them had the property that is
/// judged: a failure, or a long latency.
/// @ingroup rollouts
struct ResponseCounts {
  std::uint32_t total = 0;
  std::uint32_t events = 0;

  void Count(bool is_event) {
    ++total;
    events += is_event ? 1 : 0;
  }
  void Add(const ResponseCounts& other) {
    total = AddSaturated(total, other.total);
    events = AddSaturated(events, other.events);
  }
  /// @brief Sets each count to the maximum of the two values, as counts never
  /// decrease.
  void MergeMax(const ResponseCounts& other) {
    total = std::max(total, other.total);
    events = std::max(events, other.events);
  }
  /// @brief The responses since an earlier state of the same counts.
  ResponseCounts Since(const ResponseCounts& earlier) const {
    return {total - std::min(total, earlier.total),
            events - std::min(events, earlier.events)};
  }
};

/// @brief Responses of the new version and of the other versions that are
/// comparable: they share the properties that define a stratum.
/// @ingroup rollouts
struct StratumCounts {
  ResponseCounts new_version;
  ResponseCounts other_versions;

  void Add(const StratumCounts& other) {
    new_version.Add(other.new_version);
    other_versions.Add(other.other_versions);
  }
  void MergeMax(const StratumCounts& other) {
    new_version.MergeMax(other.new_version);
    other_versions.MergeMax(other.other_versions);
  }
  StratumCounts Since(const StratumCounts& earlier) const {
    return {new_version.Since(earlier.new_version),
            other_versions.Since(earlier.other_versions)};
  }
};

}  // namespace pathcleat
