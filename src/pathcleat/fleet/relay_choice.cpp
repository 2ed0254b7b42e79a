// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/relay_choice.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/fleet/host_rank.hpp"

namespace pathcleat {
namespace {

// So many hosts watch the store at least, whatever the number of domains:
// a small fleet loses most of its hosts at once.
constexpr int kFewestWatchers = 8;

// The first have read the table and passed it on after 1 s, also where they
// start at the same moment. Then so many hosts a second go to the store.
constexpr Duration kReadingPatience{1'000'000};
constexpr int kReadersASecond = 8;
// Rows of hosts that are gone for good may all rank ahead.
constexpr Duration kLongestPatience{3'000'000};

int WatchersOfDomain(int domains) {
  const int shared = std::max(1, domains);
  return (kFewestWatchers + shared - 1) / shared;
}

// Which hosts count when the hosts of a domain are ranked.
struct RankRule {
  int domains = 1;
  bool past_failing = false;
  bool self_failing = false;
};

enum class Distance : std::uint8_t { kDomain, kRegion, kFar };

Distance DistanceOf(const HostInfo& self, const HostInfo& host) {
  if (host.domain == self.domain) {
    return Distance::kDomain;
  }
  return host.region == self.region ? Distance::kRegion : Distance::kFar;
}

// Whether a host ranks among those of its domain that watch the store.
// Hosts that the store does not answer are passed over, if so wanted.
bool RanksFirst(const HostTable& hosts,
                const HostInfo& ranked,
                const RankRule& rule,
                Time now) {
  const HostInfo& self = hosts.self();
  const bool self_ahead = self.domain == ranked.domain && !self.leaving &&
                          !(rule.past_failing && rule.self_failing) &&
                          RanksAhead(self, ranked);
  const auto counts = [&](const KnownHost& host) {
    const bool failing = host.versions.store_access == StoreAccess::kFailing;
    return hosts.IsAlive(host, now) && !(rule.past_failing && failing);
  };
  const int ahead =
      CountHigherRanked(hosts, ranked, counts) + (self_ahead ? 1 : 0);
  return ahead < WatchersOfDomain(rule.domains);
}

// Followers spread over the relays at the same distance.
const KnownHost* NearestRelay(const HostTable& hosts,
                              const RelayCriteria& need,
                              Distance farthest,
                              Time now) {
  const HostInfo& self = hosts.self();
  const std::uint64_t own_hash = StableHash(self.name);
  const RankRule rule{need.domain_count, true, need.store_failed};
  const KnownHost* best = nullptr;
  const auto precedes = [&](const KnownHost& a, const KnownHost& b) {
    const Distance to_a = DistanceOf(self, a.info);
    const Distance to_b = DistanceOf(self, b.info);
    return to_a != to_b ? to_a < to_b
                        : MixHashes(own_hash, StableHash(a.info.name)) <
                              MixHashes(own_hash, StableHash(b.info.name));
  };
  for (const KnownHost* host : hosts.Others()) {
    const bool relays = host->versions.store_access == StoreAccess::kWatching &&
                        !host->info.leaving && hosts.IsAlive(*host, now) &&
                        !need.avoided_peers.contains(host->info.peer_address);
    if (relays && DistanceOf(self, host->info) <= farthest &&
        RanksFirst(hosts, host->info, rule, now) &&
        (best == nullptr || precedes(*host, *best))) {
      best = host;
    }
  }
  return best;
}

}  // namespace

bool ShouldReadStore(const HostTable& hosts,
                     const StoreReadCriteria& need,
                     Time now) {
  const auto counts = [&hosts, now](const KnownHost& host) {
    return hosts.SharesLimits(host, now);
  };
  const int ahead = CountHigherRanked(hosts, hosts.self(), counts);
  const int behind = ahead - WatchersOfDomain(need.domain_count);
  if (behind < 0) {
    return true;
  }
  constexpr Duration kSecond{1'000'000};
  const Duration patience =
      kReadingPatience + kSecond * (behind / kReadersASecond);
  return need.waited >= std::min(patience, kLongestPatience);
}

RelayChoice ChooseRelay(const HostTable& hosts,
                        const RelayCriteria& need,
                        Time now) {
  const RankRule past_failing{need.domain_count, true, need.store_failed};
  if (!need.store_failed &&
      RanksFirst(hosts, hosts.self(), past_failing, now)) {
    return {};
  }
  const Distance farthest =
      need.store_failed ? Distance::kFar : Distance::kDomain;
  const KnownHost* relay = NearestRelay(hosts, need, farthest, now);
  if (relay != nullptr) {
    return {RelayKind::kPeer, relay->info.peer_address, relay->info.name};
  }
  const RankRule all{need.domain_count, false, need.store_failed};
  const bool others_first =
      need.store_failed && !RanksFirst(hosts, hosts.self(), all, now);
  return {others_first ? RelayKind::kNone : RelayKind::kStore, "", ""};
}

}  // namespace pathcleat
