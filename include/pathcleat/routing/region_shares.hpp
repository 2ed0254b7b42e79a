// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <map>
#include <string>
#include <utility>

#include "pathcleat/routing/upstream_table.hpp"

namespace pathcleat {

/// @brief What a region has of a service, as all hosts see it alike.
/// @ingroup routing
struct RegionCapacity {
  double slots = 0;  ///< of its open upstreams
  int hosts = 0;     ///< entry hosts alive in it; callers spread over them
  double pinned_share =
      0;  ///< part of the slots taken by what may run nowhere else
};

/// @brief Which part of a service's keys the regions serve for the callers of
/// one region. Most of the keys go by room: they stay at home as far as the
/// region's slots go, and the others where slots are left over. The rest goes
/// to all upstreams alike. All hosts reckon alike without talk, from the
/// list and the fleet. Not thread-safe.
/// @ingroup routing
class RegionShares {
 public:
  /// @param keeps_home whether regions count at all; else all upstreams weigh
  /// by their slots alone.
  RegionShares(std::string own_region, bool keeps_home)
      : own_region_(std::move(own_region)), keeps_home_(keeps_home) {}

  /// @brief Reckons the shares anew; called a few times a second.
  void Update(const std::map<std::string, RegionCapacity>& regions);

  /// @brief Part of the own region's keys for which it has slots, in [0, 1].
  double HomeShare() const { return home_share_; }

  /// @brief Weight of an upstream for the own region's keys.
  double WeightOf(const UpstreamState& upstream) const;

  /// @brief Weight of an upstream for work that its key's region has no room
  /// for.
  double SpillWeightOf(const UpstreamState& upstream) const;

 private:
  std::string own_region_;
  bool keeps_home_;
  double home_share_ = 1;
  std::map<std::string, double> weights_;  ///< of a slot, by region
  std::map<std::string, double> spill_;    ///< of a slot, by region
};

}  // namespace pathcleat
