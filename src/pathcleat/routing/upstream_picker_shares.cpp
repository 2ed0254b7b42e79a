// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The shares of keys that the picker gives to each region.

#include <algorithm>
#include <cmath>

#include "pathcleat/routing/upstream_picker.hpp"

namespace pathcleat {
namespace {

// Shares are updated at this interval; the list and the fleet change a few
// times a minute.
constexpr Duration kSharesUpdateInterval{250'000};

// Rounds a share to steps, so that all hosts place keys alike. The result stays
// below 1, as each region keeps slots for its own callers.
double RoundedShare(double share) {
  constexpr double kSteps = 8;
  constexpr double kMaxShare = 0.875;
  return std::min(kMaxShare, std::round(share * kSteps) / kSteps);
}

}  // namespace

// Recounts only after a change of the table, not four times a second.
void UpstreamPicker::CountSlots(SharesEntry& entry,
                                const std::string& service,
                                Time now) const {
  if (entry.revision == table_.revision()) {
    return;
  }
  entry.revision = table_.revision();
  entry.slots.clear();
  entry.unusable_slots.clear();
  const double run_seconds = pinned_capacity_.RunSecondsOf(service);
  for (const UpstreamPtr& upstream : table_.ForService(service)) {
    if (table_.IsOpen(*upstream)) {
      const int slots = std::max(1, upstream->info.slots);
      entry.slots[upstream->region] += slots;
      entry.unusable_slots[upstream->region] +=
          slots - upstream->UsableSlots(run_seconds, now);
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
  if (entry.updated && now - *entry.updated < kSharesUpdateInterval) {
    return entry.shares;
  }
  entry.updated = now;
  CountSlots(entry, service, now);
  std::map<std::string, RegionCapacity> regions;
  for (const auto& [region, slots] : entry.slots) {
    regions[region].slots = slots;
  }
  for (auto& [region, capacity] : regions) {
    const double usable_share =
        1 - RoundedShare(entry.unusable_slots[region] / capacity.slots);
    capacity.pinned_share =
        1 - (1 - pinned_capacity_.ShareOf(service, region, capacity.slots)) *
                usable_share;
  }
  for (const auto& [region, hosts] : host_counts_) {
    regions[region].hosts = hosts;
  }
  entry.shares.Update(regions);
  return entry.shares;
}

}  // namespace pathcleat
