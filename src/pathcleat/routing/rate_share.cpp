// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/rate_share.hpp"

#include <algorithm>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

constexpr double kSlackPart = 0.5;
// Two parts of a fleet that do not hear each other never hold this many both.
constexpr double kMostOfFleet = 0.67;

}  // namespace

int RateSenderCount(double slack) {
  return std::max(1, static_cast<int>(slack * kSlackPart));
}

double RateSenders::PartOfFleet() const {
  const double part = (count_ + 1.0) / std::max(1, known_);
  return part < kMostOfFleet ? part : 1;
}

int RateSenders::CountAhead(const std::vector<std::uint64_t>& hosts,
                            std::uint64_t upstream_hash,
                            int enough) const {
  const std::uint64_t own = MixHashes(upstream_hash, self_);
  int ahead = 0;
  for (const std::uint64_t host : hosts) {
    if (ahead >= enough) {
      break;
    }
    ++ranked_;
    ahead += MixHashes(upstream_hash, host) > own ? 1 : 0;
  }
  return ahead;
}

double RateSenders::Rate(const RateBound& bound,
                         std::uint64_t upstream_hash,
                         const std::string& upstream_region) const {
  const double part = PartOfFleet();
  const int senders = std::min(RateSenderCount(bound.slack * part), count_ + 1);
  const bool near = region_ == upstream_region;
  int ahead = 0;
  for (const auto& [region, hosts] : others_) {
    if (region == upstream_region) {
      // To a host from elsewhere all of these are ahead.
      ahead += near ? CountAhead(hosts, upstream_hash, senders)
                    : static_cast<int>(hosts.size());
    }
  }
  for (const auto& [region, hosts] : others_) {
    if (!near && region != upstream_region && ahead < senders) {
      ahead += CountAhead(hosts, upstream_hash, senders - ahead);
    }
  }
  return ahead < senders ? bound.per_second * part / senders : 0;
}

}  // namespace pathcleat
