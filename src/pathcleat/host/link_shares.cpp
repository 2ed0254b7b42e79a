// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/link_shares.hpp"

#include <vector>

#include "pathcleat/steer/split_limit.hpp"

namespace pathcleat {

std::map<RegionIndex, int> ShareLinks(const HostSettings& settings) {
  const Deployment& deployment = settings.deployment;
  const RegionIndex own = deployment.RegionOf(settings.seat);
  std::vector<int> weights;
  for (const SeatIndex seat : IndicesOf<SeatIndex>(deployment.seats)) {
    weights.push_back(deployment.RegionOf(seat) == own ? 1 : 0);
  }
  std::map<RegionIndex, int> shares;
  for (const Link& link : deployment.links) {
    if (link.from == own) {
      const auto split = SplitLimit(link.max_in_flight, weights);
      shares[link.to] = split[settings.seat.value];
    }
  }
  return shares;
}

}  // namespace pathcleat
