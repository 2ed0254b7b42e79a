// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Measures how far the configuration in force on this host is behind
/// that of other hosts. Versions that no living host reports any more do not
/// count: a host that is cut off from the fleet continues with the
/// configuration that it has. Not thread-safe.
/// @ingroup feeds
class ConfigLag {
 public:
  /// @param report_ttl reported versions stop counting if for this long no host
  /// has reported a version newer than the one in force on this host.
  explicit ConfigLag(Duration report_ttl) : report_ttl_(report_ttl) {}

  /// @brief Records that another host has had a version in force for `age`.
  void OnPeerVersion(std::uint64_t version, Duration age, Time now);

  /// @brief Records that a version came into force on this host.
  void OnApplied(std::uint64_t version);

  /// @brief Whether other hosts have a newer version in force.
  bool IsBehind(Time now) const;

  /// @brief Time since the first version that this host lacks came into force
  /// on any host; zero if this host lacks none.
  Duration LagDuration(Time now) const;

 private:
  Duration report_ttl_;
  std::uint64_t applied_ = 0;
  Time last_report_;  ///< of a version newer than applied_
  /// By version that this host lacks: when it came into force on another host.
  std::map<std::uint64_t, Time> missing_;
};

}  // namespace pathcleat
