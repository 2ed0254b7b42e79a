// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/host_rank.hpp"

#include "pathcleat/core/hash.hpp"

namespace pathcleat {

bool RanksAhead(const HostInfo& a, const HostInfo& b) {
  if (a.link_mbps != b.link_mbps) {
    return a.link_mbps > b.link_mbps;
  }
  if (a.capacity.cpu_cores != b.capacity.cpu_cores) {
    return a.capacity.cpu_cores > b.capacity.cpu_cores;
  }
  return StableHash(a.name) < StableHash(b.name);
}

int CountHigherRanked(const HostTable& hosts,
                      const HostInfo& ranked,
                      const std::function<bool(const HostEntry&)>& counts) {
  int ahead = 0;
  for (const HostEntry* host : hosts.Others()) {
    const bool candidate =
        host->info.domain == ranked.domain && !host->info.leaving;
    ahead +=
        candidate && counts(*host) && RanksAhead(host->info, ranked) ? 1 : 0;
  }
  return ahead;
}

}  // namespace pathcleat
