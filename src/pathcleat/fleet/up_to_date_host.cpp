// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/up_to_date_host.hpp"

#include <tuple>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

// Distance, negative link capacity in Mbit/s, negative number of processor
// cores and a hash that decides between equal hosts; the smallest rank is best.
using Rank = std::tuple<int, double, double, std::uint64_t>;

int DistanceOf(const HostInfo& self, const HostInfo& host) {
  if (host.domain == self.domain) {
    return 0;
  }
  return host.region == self.region ? 1 : 2;
}

}  // namespace

const HostEntry* ChooseUpToDateHost(
    const HostTable& hosts,
    const std::function<bool(const HostVersions&)>& has_data,
    std::uint64_t salt,
    Time now) {
  const std::uint64_t seed = MixHashes(salt, StableHash(hosts.self().name));
  const auto rank_of = [&](const HostEntry& host) {
    return Rank{DistanceOf(hosts.self(), host.info), -host.info.link_mbps,
                -host.info.capacity.cpu_cores,
                MixHashes(seed, StableHash(host.info.name))};
  };
  const HostEntry* best = nullptr;
  for (const HostEntry* host : hosts.Others()) {
    if (host->info.leaving || !hosts.IsAlive(*host, now) ||
        !has_data(host->versions)) {
      continue;
    }
    if (best == nullptr || rank_of(*host) < rank_of(*best)) {
      best = host;
    }
  }
  return best;
}

}  // namespace pathcleat
