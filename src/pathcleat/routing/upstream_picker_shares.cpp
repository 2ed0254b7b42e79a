// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// How the picker shares keys out among regions.

#include <algorithm>
#include <cmath>

#include "pathcleat/routing/upstream_picker.hpp"

namespace pathcleat {
namespace {

// The list and the fleet change a few times a minute; shares follow within
// this time.
constexpr Duration kSharesPeriod{250'000};

// Told in steps, as all hosts are to place keys alike. Something is always
// left: a region has callers of its own.
double RoundedPart(double part) {
  constexpr double kSteps = 8;
  constexpr double kMost = 0.875;
  return std::min(kMost, std::round(part * kSteps) / kSteps);
}

}  // namespace

// The list is walked when it has changed, not four times a second.
void UpstreamPicker::CountSlots(SharesEntry& entry,
                                const std::string& service,
                                Time now) const {
  if (entry.revision == table_.revision()) {
    return;
  }
  entry.revision = table_.revision();
  entry.slots.clear();
  entry.unusable.clear();
  const double run = bound_.RunSecondsOf(service);
  for (const UpstreamPtr& upstream : table_.ForService(service)) {
    if (table_.IsOpen(*upstream)) {
      const int slots = std::max(1, upstream->info.slots);
      entry.slots[upstream->region] += slots;
      entry.unusable[upstream->region] +=
          slots - upstream->UsableSlots(run, now);
    }
  }
}

RegionShares& UpstreamPicker::SharesOf(const std::string& service, Time now) {
  auto found = shares_.find(service);
  if (found == shares_.end()) {
    const bool keeps_home =
        settings_.policy.IsEnabled(Mechanism::kRegionShares);
    const RegionShares shares(settings_.region, keeps_home);
    found =
        shares_.emplace(service, SharesEntry{shares, std::nullopt, 0, {}, {}})
            .first;
  }
  SharesEntry& entry = found->second;
  if (entry.updated && now - *entry.updated < kSharesPeriod) {
    return entry.shares;
  }
  entry.updated = now;
  CountSlots(entry, service, now);
  std::map<std::string, RegionCapacity> regions;
  for (const auto& [region, slots] : entry.slots) {
    regions[region].slots = slots;
  }
  for (auto& [region, room] : regions) {
    const double usable = 1 - RoundedPart(entry.unusable[region] / room.slots);
    room.pinned_share =
        1 - (1 - bound_.ShareOf(service, region, room.slots)) * usable;
  }
  for (const auto& [region, hosts] : hosts_) {
    regions[region].hosts = hosts;
  }
  entry.shares.Update(regions);
  return entry.shares;
}

}  // namespace pathcleat
