// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/tally_table.hpp"

#include <algorithm>

#include "pathcleat/core/saturated.hpp"

namespace pathcleat {
namespace {

// Tallies are sent twice a second. A tally that is older than kInFlightTtl
// may be from a dead host, so its requests in flight no longer count.
constexpr Duration kInFlightTtl{2'500'000};

void AddAge(ReportAges& ages, Duration age) {
  if (age > kInFlightTtl) {
    ++ages.overdue;
    return;
  }
  ages.newest = std::min(ages.newest.value_or(age), age);
  ages.oldest = std::max(ages.oldest.value_or(age), age);
}

}  // namespace

void TallyTable::Update(Received& kept, const RolloutTally& tally, Time now) {
  kept.tally.MergeMaxCounts(tally);
  kept.tally.other_versions_in_flight = tally.other_versions_in_flight;
  kept.tally.promoted_host_count = tally.promoted_host_count;
  kept.received_at = now;
}

void TallyTable::Add(RolloutTally& sum, const Received& received, Time now) {
  sum.AddCounts(received.tally);
  if (now - received.received_at <= kInFlightTtl) {
    sum.other_versions_in_flight = AddSaturated(
        sum.other_versions_in_flight, received.tally.other_versions_in_flight);
    sum.promoted_host_count = AddSaturated(sum.promoted_host_count,
                                           received.tally.promoted_host_count);
  }
}

void TallyTable::OnHostTally(std::uint64_t incarnation,
                             const RolloutTally& tally,
                             Time now) {
  if (tally.order_id == order_) {
    Update(hosts_[incarnation], tally, now);
  }
}

void TallyTable::OnDomainTally(const std::string& domain,
                               const RolloutTally& tally,
                               Time now) {
  if (tally.order_id == order_) {
    Update(domains_[domain], tally, now);
  }
}

void TallyTable::OnOwnDomainTally(const RolloutTally& tally, Time now) {
  if (tally.order_id == order_) {
    Update(own_domain_, tally, now);
  }
}

// In a large domain a host receives the tallies of only some hosts directly;
// the sum over the domain is relayed by another host. The direct sum and the
// relayed sum count the same answers, so the maximum of the two is used.
RolloutTally TallyTable::DomainTally(Time now) const {
  RolloutTally direct;
  direct.order_id = order_;
  for (const auto& [incarnation, host] : hosts_) {
    Add(direct, host, now);
  }
  RolloutTally relayed;
  Add(relayed, own_domain_, now);
  direct.MergeMaxCounts(relayed);
  direct.other_versions_in_flight = std::max(direct.other_versions_in_flight,
                                             relayed.other_versions_in_flight);
  direct.promoted_host_count =
      std::max(direct.promoted_host_count, relayed.promoted_host_count);
  return direct;
}

ReportAges TallyTable::AgesOfReports(Time now) const {
  ReportAges ages;
  for (const auto& [incarnation, host] : hosts_) {
    AddAge(ages, now - host.received_at);
  }
  for (const auto& [name, domain] : domains_) {
    AddAge(ages, now - domain.received_at);
  }
  if (own_domain_.received_at != Time()) {
    AddAge(ages, now - own_domain_.received_at);
  }
  return ages;
}

RolloutTally TallyTable::FleetTally(Time now) const {
  RolloutTally sum = DomainTally(now);
  for (const auto& [name, domain] : domains_) {
    Add(sum, domain, now);
  }
  return sum;
}

}  // namespace pathcleat
