// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/forward_target.hpp"

#include <tuple>
#include <vector>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/fleet/capacity_scale.hpp"
#include "pathcleat/fleet/load_step_control.hpp"

namespace pathcleat {
namespace {

// A near host with more requests in flight from here has no room: hosts farther
// away take the rest, so that many isolated hosts do not overload one
// neighbour.
// Both limits are those of the largest host; a smaller one gets its share.
constexpr double kMaxInFlightNear = 16;
constexpr double kMaxInFlight = 64;

// Whether a host may be a target, apart from its room.
bool IsCandidate(const HostTable& hosts,
                 const HostEntry& host,
                 const ForwardCriteria& criteria,
                 Time now) {
  const HostInfo& info = host.info;
  return hosts.IsAlive(host, now) && !info.leaving && !info.isolated &&
         host.versions.config >= criteria.config_version &&
         !criteria.excluded.contains(info.name) &&
         criteria.may_enter(info.region);
}

}  // namespace

const HostEntry* ChooseForwardTarget(const HostTable& hosts,
                                     const ForwardCriteria& criteria,
                                     Time now) {
  using Rank = std::tuple<bool, double, std::uint64_t>;
  const std::vector<const HostEntry*> others = hosts.Others();
  CapacityScale scale;
  for (const HostEntry* host : others) {
    if (IsCandidate(hosts, *host, criteria, now)) {
      scale.Add(host->info);
    }
  }
  const HostEntry* best = nullptr;
  Rank best_rank;
  for (const HostEntry* host : others) {
    if (!IsCandidate(hosts, *host, criteria, now)) {
      continue;
    }
    const HostInfo& info = host->info;
    const double weight = scale.WeightOf(info) * LoadShare(info.load_step);
    const auto found = criteria.in_flight.find(info.name);
    const int in_flight = found == criteria.in_flight.end() ? 0 : found->second;
    // Even the smallest host may take one request.
    if (in_flight > 0 && in_flight >= kMaxInFlight * weight) {
      continue;
    }
    const bool is_near = info.region == hosts.self().region;
    const bool has_room =
        in_flight == 0 || in_flight < kMaxInFlightNear * weight;
    // Counts the request itself, so that of idle hosts the largest is chosen.
    const Rank rank{!is_near || !has_room, (in_flight + 1) / weight,
                    MixHashes(criteria.salt, StableHash(info.name))};
    if (best == nullptr || rank < best_rank) {
      best = host;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace pathcleat
