// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/tally_table.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

// Tallies come twice a second; one that is this old may be of a host that has
// died, and tells nothing of what is under way now.
constexpr Duration kFreshFor{2'500'000};

void RaiseAnswers(RolloutTally& kept, const RolloutTally& told) {
  kept.other_versions.MergeMax(told.other_versions);
  kept.new_version.MergeMax(told.new_version);
  for (const auto& [route, answers] : told.new_version_by_route) {
    kept.new_version_by_route[route].MergeMax(answers);
  }
}

void AddAnswers(RolloutTally& sum, const RolloutTally& told) {
  sum.other_versions.Add(told.other_versions);
  sum.new_version.Add(told.new_version);
  for (const auto& [route, answers] : told.new_version_by_route) {
    sum.new_version_by_route[route].Add(answers);
  }
}

}  // namespace

void TallyTable::Keep(Told& kept, const RolloutTally& tally, Time now) {
  RaiseAnswers(kept.tally, tally);
  kept.tally.other_versions_in_flight = tally.other_versions_in_flight;
  kept.tally.promoted_host_count = tally.promoted_host_count;
  kept.heard = now;
}

void TallyTable::Add(RolloutTally& sum, const Told& told, Time now) {
  AddAnswers(sum, told.tally);
  if (now - told.heard <= kFreshFor) {
    sum.other_versions_in_flight += told.tally.other_versions_in_flight;
    sum.promoted_host_count += told.tally.promoted_host_count;
  }
}

void TallyTable::OnHostTally(std::uint64_t incarnation,
                             const RolloutTally& tally,
                             Time now) {
  if (tally.order_id == order_) {
    Keep(hosts_[incarnation], tally, now);
  }
}

void TallyTable::OnDomainTally(const std::string& domain,
                               const RolloutTally& tally,
                               Time now) {
  if (tally.order_id == order_) {
    Keep(domains_[domain], tally, now);
  }
}

void TallyTable::OnOwnDomainTally(const RolloutTally& tally, Time now) {
  if (tally.order_id == order_) {
    Keep(own_domain_, tally, now);
  }
}

// A host of a large domain hears few others itself; both are of the same
// answers.
RolloutTally TallyTable::DomainTally(Time now) const {
  RolloutTally heard;
  heard.order_id = order_;
  for (const auto& [incarnation, host] : hosts_) {
    Add(heard, host, now);
  }
  RolloutTally told;
  Add(told, own_domain_, now);
  RaiseAnswers(heard, told);
  heard.other_versions_in_flight =
      std::max(heard.other_versions_in_flight, told.other_versions_in_flight);
  heard.promoted_host_count =
      std::max(heard.promoted_host_count, told.promoted_host_count);
  return heard;
}

RolloutTally TallyTable::FleetTally(Time now) const {
  RolloutTally sum = DomainTally(now);
  for (const auto& [name, domain] : domains_) {
    Add(sum, domain, now);
  }
  return sum;
}

}  // namespace pathcleat
