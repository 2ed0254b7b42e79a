// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief How far the configuration in force here is behind the one that
/// other hosts have in force. What no living host tells of any more does not
/// count: a host cut off from the rest serves on by what it knows. Not
/// thread-safe.
/// @ingroup feeds
class ConfigLag {
 public:
  /// @param silence after which what was told is forgotten.
  explicit ConfigLag(Duration silence) : silence_(silence) {}

  /// @brief Another host has had a version in force for a time.
  void OnPeerVersion(std::uint64_t version, Duration age, Time now);

  /// @brief A version came into force here.
  void OnApplied(std::uint64_t version);

  /// @brief Whether others have a newer version in force.
  bool IsBehind(Time now) const;

  /// @brief How long ago the first version that is missing here came into
  /// force anywhere; zero if none is missing.
  Duration LagDuration(Time now) const;

 private:
  Duration silence_;
  std::uint64_t applied_ = 0;
  Time told_;                              ///< when a newer one was last told
  std::map<std::uint64_t, Time> missing_;  ///< newer versions, and since when
};

}  // namespace pathcleat
