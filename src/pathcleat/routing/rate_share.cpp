// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/rate_share.hpp"

#include <algorithm>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

constexpr double kSenderSlackShare = 0.5;
// A host that sees at least this share of the fleet uses the whole bound. Of
// two parts of a fleet that cannot reach each other, at most one is that large.
constexpr double kMajorityShare = 0.67;

}  // namespace

int RateSenderCount(double slack) {
  return std::max(1, static_cast<int>(slack * kSenderSlackShare));
}

double RateSenders::FleetShare() const {
  const double fleet_share = (other_count_ + 1.0) / std::max(1, fleet_size_);
  return fleet_share < kMajorityShare ? fleet_share : 1;
}

int RateSenders::CountHigherRanked(const std::vector<std::uint64_t>& hosts,
                                   std::uint64_t upstream_hash,
                                   int limit) const {
  const std::uint64_t own_rank = MixHashes(upstream_hash, self_);
  int higher_ranked = 0;
  for (const std::uint64_t host : hosts) {
    if (higher_ranked >= limit) {
      break;
    }
    ++ranked_;
    higher_ranked += MixHashes(upstream_hash, host) > own_rank ? 1 : 0;
  }
  return higher_ranked;
}

double RateSenders::Rate(const RateBound& bound,
                         std::uint64_t upstream_hash,
                         const std::string& upstream_region) const {
  const double fleet_share = FleetShare();
  const int senders =
      std::min(RateSenderCount(bound.slack * fleet_share), other_count_ + 1);
  const bool is_near = region_ == upstream_region;
  int higher_ranked = 0;
  for (const auto& [region, hosts] : others_) {
    if (region == upstream_region) {
      // For a host of another region, all hosts of the upstream's region rank
      // higher.
      higher_ranked += is_near
                           ? CountHigherRanked(hosts, upstream_hash, senders)
                           : static_cast<int>(hosts.size());
    }
  }
  for (const auto& [region, hosts] : others_) {
    if (!is_near && region != upstream_region && higher_ranked < senders) {
      higher_ranked +=
          CountHigherRanked(hosts, upstream_hash, senders - higher_ranked);
    }
  }
  return higher_ranked < senders ? bound.per_second * fleet_share / senders : 0;
}

}  // namespace pathcleat
