// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <vector>

#include "pathcleat/routing/region_shares.hpp"
#include "pathcleat/routing/upstream_table.hpp"
#include "pathcleat/routing/warmth.hpp"

namespace pathcleat {

/// @brief An upstream that may serve a request.
/// @ingroup routing
struct Candidate {
  UpstreamPtr upstream;
  /// Distance of the upstream from the key; the nearest upstream is the first
  /// choice.
  double distance = 0;
  WarmthEvidence warmth_evidence;  ///< why the upstream may be warm for the key
  double warm_probability = 0;     ///< probability that the upstream is warm
};

/// @brief Distance of an upstream from a key in weighted rendezvous hashing:
/// each upstream is the nearest one to a share of the keys that is proportional
/// to its weight, and a change of one weight moves only the keys that must
/// move. After C. Schindelhauer and G. Schomaker, "Weighted distributed hash
/// tables" (2005).
/// @param weight above zero; an upstream of weight zero is infinitely far.
double KeyDistance(std::uint64_t key, std::uint64_t upstream, double weight);

/// @brief Sorts upstreams by their distance from a key, nearest first, weighted
/// by the regions' shares.
void RankByKey(std::vector<Candidate>& candidates,
               std::uint64_t key,
               const RegionShares& shares);

/// @brief Keeps the few upstreams that serve a key, nearest first, also under
/// overload: a key spread over all upstreams would be cold on each of them, and
/// the longer runs would increase the overload further. Two of the upstreams
/// are the nearest by the regions' shares; if both are in one region, the third
/// is the nearest in another region, for the case that the first region lacks
/// capacity.
void KeepNearestToKey(std::vector<Candidate>& candidates,
                      std::uint64_t key,
                      const RegionShares& shares);

}  // namespace pathcleat
