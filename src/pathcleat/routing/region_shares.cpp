// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/region_shares.hpp"

#include <algorithm>
#include <limits>

namespace pathcleat {
namespace {

// Share of a region's keys that is placed by capacity; the others go to all
// upstreams alike. With a larger share, fewer bytes are sent between regions.
// With a smaller share, load is balanced better: regions are busy at different
// times, and each region alone has less capacity to balance load with.
constexpr double kCapacityPlacedShare = 0.75;
// Minimum share of a region's slots that may serve spilled requests of other
// regions: a region without spare slots by this computation still has upstreams
// that are idle at the moment.
constexpr double kMinSpareShare = 0.05;

double WeightIn(const std::map<std::string, double>& weights,
                const std::string& region) {
  const auto found = weights.find(region);
  return found == weights.end() ? 0 : found->second;
}

// Ratio of the slots for each host from which on regions count as uneven.
constexpr double kUnevenRatio = 2;

bool AreUneven(const std::map<std::string, RegionCapacity>& regions) {
  double low = std::numeric_limits<double>::max();
  double high = 0;
  for (const auto& [name, capacity] : regions) {
    if (capacity.slots > 0 && capacity.hosts > 0) {
      low = std::min(low, capacity.slots / capacity.hosts);
      high = std::max(high, capacity.slots / capacity.hosts);
    }
  }
  return high > kUnevenRatio * low;
}

double UnpinnedSlots(const RegionCapacity& capacity) {
  return capacity.slots * (1 - capacity.pinned_share);
}

}  // namespace

// Keys are placed by the slots that pinned accounts do not use. Callers are
// assumed to be spread over the regions as the hosts are, and all regions are
// to be equally busy.
void RegionShares::Update(
    const std::map<std::string, RegionCapacity>& regions) {
  is_uneven_ = AreUneven(regions);
  double slots = 0;
  double hosts = 0;
  for (const auto& [name, capacity] : regions) {
    slots += UnpinnedSlots(capacity);
    hosts += capacity.hosts;
  }
  const double slots_per_host = slots / std::max(1.0, hosts);
  double spare_elsewhere = 0;
  weight_per_slot_.clear();
  spill_weight_per_slot_.clear();
  for (const auto& [name, capacity] : regions) {
    const double unpinned_slots = UnpinnedSlots(capacity);
    if (unpinned_slots > 0) {
      const double spare =
          std::max(unpinned_slots - slots_per_host * capacity.hosts,
                   unpinned_slots * kMinSpareShare);
      spill_weight_per_slot_[name] = spare / capacity.slots;
      spare_elsewhere += name == own_region_ ? 0 : spare;
    }
  }
  const auto own = regions.find(own_region_);
  const RegionCapacity home =
      own == regions.end() ? RegionCapacity{} : own->second;
  const double home_demand = slots_per_host * std::max(1, home.hosts);
  home_share_ =
      home_demand > 0 ? std::min(1.0, UnpinnedSlots(home) / home_demand) : 0;
  const double capacity_placed_share = prefers_home_ ? kCapacityPlacedShare : 0;
  for (const auto& [name, spill_weight] : spill_weight_per_slot_) {
    const double by_capacity =
        name == own_region_
            ? home_share_ / home.slots
            : (1 - home_share_) * spill_weight / spare_elsewhere;
    const double unpinned_share = 1 - regions.at(name).pinned_share;
    weight_per_slot_[name] =
        capacity_placed_share * by_capacity +
        (1 - capacity_placed_share) * unpinned_share / slots;
  }
}

double RegionShares::WeightOf(const UpstreamState& upstream) const {
  return WeightIn(weight_per_slot_, upstream.region) * upstream.info.slots;
}

double RegionShares::SpillWeightOf(const UpstreamState& upstream) const {
  return WeightIn(spill_weight_per_slot_, upstream.region) *
         upstream.info.slots;
}

}  // namespace pathcleat
