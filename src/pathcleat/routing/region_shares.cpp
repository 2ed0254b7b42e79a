// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/region_shares.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

// Part of a region's keys that goes by the region's own room; the others go to
// all upstreams alike. Keeping all keys at home saves most bytes, but regions
// are busy at different times, and each alone has less to balance with: of 0,
// 0.5, 0.75 and 1 this one measured best over three sites (docs/DECISIONS.md,
// round 6).
constexpr double kHomePull = 0.75;
// Least part of a region's slots that may take others' spill: a region without
// any room to spare still has upstreams that are not busy just now.
constexpr double kLeastSpare = 0.05;

double Find(const std::map<std::string, double>& weights,
            const std::string& region) {
  const auto found = weights.find(region);
  return found == weights.end() ? 0 : found->second;
}

double SlotsLeft(const RegionCapacity& room) {
  return room.slots * (1 - room.pinned_share);
}

}  // namespace

// What is placed by room goes by the slots that are left beside what may run
// nowhere else. Callers are taken to spread over the regions as the hosts do,
// and all regions are to be equally busy.
void RegionShares::Update(
    const std::map<std::string, RegionCapacity>& regions) {
  double slots = 0;
  double hosts = 0;
  for (const auto& [name, room] : regions) {
    slots += SlotsLeft(room);
    hosts += room.hosts;
  }
  const double need_of_host = slots / std::max(1.0, hosts);
  double spare_elsewhere = 0;
  weights_.clear();
  spill_.clear();
  for (const auto& [name, room] : regions) {
    const double left = SlotsLeft(room);
    if (left > 0) {
      const double spare =
          std::max(left - need_of_host * room.hosts, left * kLeastSpare);
      spill_[name] = spare / room.slots;
      spare_elsewhere += name == own_region_ ? 0 : spare;
    }
  }
  const auto own = regions.find(own_region_);
  const RegionCapacity home =
      own == regions.end() ? RegionCapacity{} : own->second;
  const double home_need = need_of_host * std::max(1, home.hosts);
  home_share_ = home_need > 0 ? std::min(1.0, SlotsLeft(home) / home_need) : 0;
  const double pull = keeps_home_ ? kHomePull : 0;
  for (const auto& [name, of_slot] : spill_) {
    const double by_room = name == own_region_
                               ? home_share_ / home.slots
                               : (1 - home_share_) * of_slot / spare_elsewhere;
    const double unbound = 1 - regions.at(name).pinned_share;
    weights_[name] = pull * by_room + (1 - pull) * unbound / slots;
  }
}

double RegionShares::WeightOf(const UpstreamState& upstream) const {
  return Find(weights_, upstream.region) * upstream.info.slots;
}

double RegionShares::SpillWeightOf(const UpstreamState& upstream) const {
  return Find(spill_, upstream.region) * upstream.info.slots;
}

}  // namespace pathcleat
