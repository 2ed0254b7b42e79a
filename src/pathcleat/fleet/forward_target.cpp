// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/forward_target.hpp"

#include <tuple>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

// A near host with more requests in flight from here has no room: hosts farther
// away take the rest, so that many isolated hosts do not overload one
// neighbour.
constexpr int kMaxInFlightNear = 16;
constexpr int kMaxInFlight = 64;

}  // namespace

const HostEntry* ChooseForwardTarget(const HostTable& hosts,
                                     const ForwardCriteria& criteria,
                                     Time now) {
  using Rank = std::tuple<bool, int, std::uint64_t>;
  const HostEntry* best = nullptr;
  Rank best_rank;
  for (const HostEntry* host : hosts.Others()) {
    const HostInfo& info = host->info;
    const auto found = criteria.in_flight.find(info.name);
    const int in_flight = found == criteria.in_flight.end() ? 0 : found->second;
    if (!hosts.IsAlive(*host, now) || info.leaving || info.isolated ||
        host->versions.config < criteria.config_version ||
        criteria.excluded.contains(info.name) || in_flight >= kMaxInFlight ||
        !criteria.may_enter(info.region)) {
      continue;
    }
    const bool is_near = info.region == hosts.self().region;
    const Rank rank{!is_near || in_flight >= kMaxInFlightNear, in_flight,
                    MixHashes(criteria.salt, StableHash(info.name))};
    if (best == nullptr || rank < best_rank) {
      best = host;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace pathcleat
