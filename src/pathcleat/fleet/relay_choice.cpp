// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/relay_choice.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/fleet/host_rank.hpp"
#include "pathcleat/fleet/watch_turn.hpp"

namespace pathcleat {
namespace {

// Hosts that are not among the highest-ranked ones wait at least this long: the
// highest-ranked hosts have read and forwarded the table within 1 s, even if
// all hosts start at the same moment. After that, kReadersPerSecond further
// hosts of a domain read the store each second.
constexpr Duration kStoreReadDelay{1'000'000};
constexpr int kReadersPerSecond = 8;
// Upper bound of the wait: the hosts that rank ahead may all be dead and listed
// only by the rows that they left in the store.
constexpr Duration kMaxStoreReadDelay{3'000'000};

// Which hosts are included when the hosts of a domain are ranked.
struct RankRule {
  int domains = 1;
  bool skip_failing = false;
  bool self_failing = false;
};

enum class Distance : std::uint8_t { kDomain, kRegion, kFar };

Distance DistanceOf(const HostInfo& self, const HostInfo& host) {
  if (host.domain == self.domain) {
    return Distance::kDomain;
  }
  return host.region == self.region ? Distance::kRegion : Distance::kFar;
}

// Whether a host ranks among the hosts of its domain that watch the store.
// Skips hosts that get no answer from the store if the rule says so.
bool RanksAmongWatchers(const HostTable& hosts,
                        const HostInfo& ranked,
                        const RankRule& rule,
                        Time now) {
  const HostInfo& self = hosts.self();
  const bool self_ahead = self.domain == ranked.domain && !self.leaving &&
                          !(rule.skip_failing && rule.self_failing) &&
                          RanksAhead(self, ranked);
  const auto counts = [&](const HostEntry& host) {
    const bool failing = host.versions.store_access == StoreAccess::kFailing;
    return hosts.IsAlive(host, now) && !(rule.skip_failing && failing);
  };
  const int ahead =
      CountHigherRanked(hosts, ranked, counts) + (self_ahead ? 1 : 0);
  return ahead < WatchersOfDomain(rule.domains);
}

// Whether a host of the own domain that ranks ahead gets no answer from the
// store.
bool IsFailingAhead(const HostTable& hosts, Time now) {
  const auto is_failing = [&](const HostEntry& host) {
    return hosts.IsAlive(host, now) &&
           host.versions.store_access == StoreAccess::kFailing;
  };
  return CountHigherRanked(hosts, hosts.self(), is_failing) > 0;
}

// The nearest host that a follower can get changes from. Followers are spread
// over the relays at the same distance by a hash of the names.
const HostEntry* NearestRelay(const HostTable& hosts,
                              const RelayCriteria& criteria,
                              Distance farthest,
                              Time now) {
  const HostInfo& self = hosts.self();
  const std::uint64_t own_hash = StableHash(self.name);
  const RankRule rule{criteria.domain_count, true, criteria.store_failed};
  const HostEntry* best = nullptr;
  const auto precedes = [&](const HostEntry& a, const HostEntry& b) {
    const Distance to_a = DistanceOf(self, a.info);
    const Distance to_b = DistanceOf(self, b.info);
    return to_a != to_b ? to_a < to_b
                        : MixHashes(own_hash, StableHash(a.info.name)) <
                              MixHashes(own_hash, StableHash(b.info.name));
  };
  for (const HostEntry* host : hosts.Others()) {
    const bool relays =
        host->versions.store_access == StoreAccess::kWatching &&
        !host->info.leaving && hosts.IsAlive(*host, now) &&
        !criteria.avoided_peers.contains(host->info.peer_address);
    if (relays && DistanceOf(self, host->info) <= farthest &&
        RanksAmongWatchers(hosts, host->info, rule, now) &&
        (best == nullptr || precedes(*host, *best))) {
      best = host;
    }
  }
  return best;
}

}  // namespace

bool ShouldReadStore(const HostTable& hosts,
                     const StoreReadCriteria& criteria,
                     Time now) {
  const auto counts = [&hosts, now](const HostEntry& host) {
    return hosts.SharesLimits(host, now);
  };
  const int ahead = CountHigherRanked(hosts, hosts.self(), counts);
  const int behind = ahead - WatchersOfDomain(criteria.domain_count);
  if (behind < 0) {
    return true;
  }
  constexpr Duration kSecond{1'000'000};
  const Duration delay =
      kStoreReadDelay + kSecond * (behind / kReadersPerSecond);
  return criteria.waited >= std::min(delay, kMaxStoreReadDelay);
}

RelayChoice ChooseRelay(const HostTable& hosts,
                        const RelayCriteria& criteria,
                        Time now) {
  const RankRule skip_failing{criteria.domain_count, true,
                              criteria.store_failed};
  if (!criteria.store_failed &&
      RanksAmongWatchers(hosts, hosts.self(), skip_failing, now)) {
    return {};
  }
  const Distance farthest =
      criteria.store_failed ? Distance::kFar : Distance::kDomain;
  const HostEntry* relay = NearestRelay(hosts, criteria, farthest, now);
  if (relay != nullptr) {
    return {RelayKind::kPeer, relay->info.peer_address, relay->info.name};
  }
  const RankRule with_failing{criteria.domain_count, false,
                              criteria.store_failed};
  // If the store answers nobody, only a few hosts of a domain keep trying. A
  // host whose relays fail waits for the hosts that rank next after them.
  const bool store_in_doubt =
      criteria.store_failed || IsFailingAhead(hosts, now);
  const bool others_try_first =
      store_in_doubt &&
      !RanksAmongWatchers(hosts, hosts.self(), with_failing, now);
  return {others_try_first ? RelayKind::kNone : RelayKind::kStore, "", ""};
}

}  // namespace pathcleat
