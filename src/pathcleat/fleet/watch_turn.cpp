// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/watch_turn.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/fleet/host_rank.hpp"

namespace pathcleat {
namespace {

// At least this many hosts of the fleet watch the store, even if there are few
// domains, as most hosts of a small fleet may fail at once.
constexpr int kMinWatchers = 8;

using HostsOfDomains = std::map<std::string, std::vector<const HostInfo*>>;

HostsOfDomains LivingHostsByDomain(const HostTable& hosts, Time now) {
  HostsOfDomains by_domain;
  by_domain[hosts.self().domain].push_back(&hosts.self());
  for (const HostEntry* host : hosts.Others()) {
    if (hosts.IsAlive(*host, now) && !host->info.leaving) {
      by_domain[host->info.domain].push_back(&host->info);
    }
  }
  return by_domain;
}

}  // namespace

int WatchersOfDomain(int domains) {
  const int domain_count = std::max(1, domains);
  return (kMinWatchers + domain_count - 1) / domain_count;
}

WatchTurn TurnAmongWatchers(const HostTable& hosts, int domains, Time now) {
  const std::uint64_t own_hash = StableHash(hosts.self().name);
  const auto max_watchers = static_cast<std::size_t>(WatchersOfDomain(domains));
  WatchTurn turn;
  turn.count = 0;
  bool is_self_counted = false;
  for (auto& [domain, members] : LivingHostsByDomain(hosts, now)) {
    const std::size_t watchers = std::min(members.size(), max_watchers);
    std::partial_sort(members.begin(),
                      members.begin() + static_cast<std::ptrdiff_t>(watchers),
                      members.end(), [](const HostInfo* a, const HostInfo* b) {
                        return RanksAhead(*a, *b);
                      });
    for (std::size_t i = 0; i < watchers; ++i) {
      ++turn.count;
      is_self_counted = is_self_counted || members[i] == &hosts.self();
      turn.position += StableHash(members[i]->name) < own_hash ? 1 : 0;
    }
  }
  // This host also watches the store while hosts that rank ahead of it fail to.
  turn.count += is_self_counted ? 0 : 1;
  return turn;
}

}  // namespace pathcleat
