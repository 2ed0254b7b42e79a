// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <map>
#include <string>
#include <utility>

#include "pathcleat/routing/upstream_table.hpp"

namespace pathcleat {

/// @brief Capacity of a region for one service. All hosts have the same values.
/// @ingroup routing
struct RegionCapacity {
  double slots = 0;  ///< of its open upstreams
  int hosts = 0;  ///< live entry hosts in the region; callers are assumed to be
                  ///< spread evenly over them
  double pinned_share =
      0;  ///< share of the slots used by accounts that may run nowhere else
};

/// @brief Computes which share of a service's keys each region serves for the
/// callers of one region. Most keys are placed by capacity: they are served in
/// their own region as far as its slots suffice, and beyond that in regions
/// with spare slots. The keys not placed by capacity are spread over all
/// upstreams by their slots. All hosts compute the same shares from the
/// upstream list and the fleet, without coordination. Not thread-safe.
/// @ingroup routing
class RegionShares {
 public:
  /// @param prefers_home whether keys are placed by the capacity of regions; if
  /// not, upstreams are weighted by their slots alone.
  RegionShares(std::string own_region, bool prefers_home)
      : own_region_(std::move(own_region)), prefers_home_(prefers_home) {}

  /// @brief Recomputes the shares; called a few times a second.
  void Update(const std::map<std::string, RegionCapacity>& regions);

  /// @brief Share of the capacity-placed keys of this host's region that the
  /// region's own slots can serve, in [0, 1].
  double HomeShare() const { return home_share_; }

  /// @brief Whether one region has more than twice as many slots for each host
  /// as another one that has slots and hosts.
  bool IsUneven() const { return is_uneven_; }

  /// @brief Weight of an upstream for keys of this host's region.
  double WeightOf(const UpstreamState& upstream) const;

  /// @brief Weight of an upstream for requests whose own region has no capacity
  /// for them.
  double SpillWeightOf(const UpstreamState& upstream) const;

 private:
  std::string own_region_;
  bool prefers_home_;
  double home_share_ = 1;
  bool is_uneven_ = false;
  std::map<std::string, double> weight_per_slot_;        ///< by region
  std::map<std::string, double> spill_weight_per_slot_;  ///< by region
};

}  // namespace pathcleat
