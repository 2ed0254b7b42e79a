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
  double distance = 0;  ///< from the key; the nearest is the first choice
  WarmthEvidence warmth_evidence;  ///< why it may be quick at the key
  double warm_probability = 0;     ///< probability that it is
};

/// @brief Distance of an upstream from a key in weighted rendezvous hashing:
/// of many keys an upstream is the nearest to a part in proportion to its
/// weight, and a change of one weight moves only the keys that must move.
/// After C. Schindelhauer and G. Schomaker, "Weighted distributed hash
/// tables" (2005).
/// @param weight above zero; an upstream of weight zero is infinitely far.
double KeyDistance(std::uint64_t key, std::uint64_t upstream, double weight);

/// @brief Sorts upstreams nearest to a key first, by the regions' shares.
void RankByKey(std::vector<Candidate>& candidates,
               std::uint64_t key,
               const RegionShares& shares);

/// @brief Keeps the few upstreams that a key stays with, also under overload,
/// nearest first: spread over all it would be cold everywhere, and overload
/// would feed on itself. Two are the nearest by the regions' shares; the last
/// is in another region, for when the key's region is short of room.
void KeepNearestToKey(std::vector<Candidate>& candidates,
                      std::uint64_t key,
                      const RegionShares& shares);

}  // namespace pathcleat
