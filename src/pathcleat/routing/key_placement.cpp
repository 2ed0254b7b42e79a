// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/key_placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/routing/region_shares.hpp"

namespace pathcleat {
namespace {

// Number of a key's upstreams that are determined by the regions' shares.
constexpr std::size_t kNearestUpstreams = 2;

// Added to the distance of upstreams without a share, so that they rank after
// upstreams with a share.
constexpr double kNoShareOffset = 1e3;

bool IsNearer(const Candidate& a, const Candidate& b) {
  return a.distance < b.distance;
}

double DistanceOf(const UpstreamState& upstream,
                  std::uint64_t key,
                  const RegionShares& shares) {
  const double weight = shares.WeightOf(upstream);
  if (weight > 0) {
    return KeyDistance(key, upstream.hash, weight);
  }
  return kNoShareOffset +
         KeyDistance(key, upstream.hash, shares.SpillWeightOf(upstream));
}

void SetDistances(std::vector<Candidate>& candidates,
                  std::uint64_t key,
                  const RegionShares& shares) {
  for (Candidate& candidate : candidates) {
    candidate.distance = DistanceOf(*candidate.upstream, key, shares);
  }
}

// Moves the nearest candidate outside a region to an index, if there is one at
// or after it.
void MoveNearestOutside(std::vector<Candidate>& candidates,
                        const std::string& region,
                        std::size_t index) {
  auto best = candidates.end();
  for (auto it = candidates.begin() + static_cast<std::ptrdiff_t>(index);
       it != candidates.end(); ++it) {
    if (it->upstream->region != region &&
        (best == candidates.end() || IsNearer(*it, *best))) {
      best = it;
    }
  }
  if (best != candidates.end()) {
    std::iter_swap(candidates.begin() + static_cast<std::ptrdiff_t>(index),
                   best);
  }
}

}  // namespace

double KeyDistance(std::uint64_t key, std::uint64_t upstream, double weight) {
  if (weight <= 0) {
    return std::numeric_limits<double>::infinity();
  }
  // In (0, 1], as the logarithm of zero is not finite.
  const double unit = 1 - ToUnitInterval(MixHashes(key, upstream));
  return -std::log(unit) / weight;
}

void RankByKey(std::vector<Candidate>& candidates,
               std::uint64_t key,
               const RegionShares& shares) {
  SetDistances(candidates, key, shares);
  std::sort(candidates.begin(), candidates.end(), IsNearer);
}

void KeepNearestToKey(std::vector<Candidate>& candidates,
                      std::uint64_t key,
                      const RegionShares& shares) {
  SetDistances(candidates, key, shares);
  const std::size_t kept = std::min(kNearestUpstreams + 1, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(kept),
                    candidates.end(), IsNearer);
  if (kept <= kNearestUpstreams) {
    return;
  }
  const std::string& region = candidates.front().upstream->region;
  if (candidates[1].upstream->region == region) {
    MoveNearestOutside(candidates, region, kNearestUpstreams);
  }
  candidates.resize(kept);
}

}  // namespace pathcleat
