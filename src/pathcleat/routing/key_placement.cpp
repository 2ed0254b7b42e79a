// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/key_placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/routing/region_shares.hpp"

namespace pathcleat {
namespace {

// Upstreams of a key by the regions' shares. One measured about the same on
// three sites (docs/DECISIONS.md, rounds).
constexpr std::size_t kNearUpstreams = 2;

// Upstreams without a share come after those that have one.
constexpr double kBeyondShares = 1e3;

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
  return kBeyondShares +
         KeyDistance(key, upstream.hash, shares.SpillWeightOf(upstream));
}

void MeasureAll(std::vector<Candidate>& candidates,
                std::uint64_t key,
                const RegionShares& shares) {
  for (Candidate& candidate : candidates) {
    candidate.distance = DistanceOf(*candidate.upstream, key, shares);
  }
}

// Moves the nearest candidate outside a region to a place, if there is one.
void MoveNearestOutside(std::vector<Candidate>& candidates,
                        const std::string& region,
                        std::size_t place) {
  auto best = candidates.end();
  for (auto at = candidates.begin() + static_cast<std::ptrdiff_t>(place);
       at != candidates.end(); ++at) {
    if (at->upstream->region != region &&
        (best == candidates.end() || IsNearer(*at, *best))) {
      best = at;
    }
  }
  if (best != candidates.end()) {
    std::iter_swap(candidates.begin() + static_cast<std::ptrdiff_t>(place),
                   best);
  }
}

}  // namespace

double KeyDistance(std::uint64_t key, std::uint64_t upstream, double weight) {
  if (weight <= 0) {
    return std::numeric_limits<double>::infinity();
  }
  // From (0, 1]: the logarithm of zero is no distance.
  const double unit = 1 - ToUnitInterval(MixHashes(key, upstream));
  return -std::log(unit) / weight;
}

void RankByKey(std::vector<Candidate>& candidates,
               std::uint64_t key,
               const RegionShares& shares) {
  MeasureAll(candidates, key, shares);
  std::sort(candidates.begin(), candidates.end(), IsNearer);
}

void KeepNearestToKey(std::vector<Candidate>& candidates,
                      std::uint64_t key,
                      const RegionShares& shares) {
  MeasureAll(candidates, key, shares);
  const std::size_t kept = std::min(kNearUpstreams + 1, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(kept),
                    candidates.end(), IsNearer);
  if (kept <= kNearUpstreams) {
    return;
  }
  const std::string& region = candidates.front().upstream->region;
  if (candidates[1].upstream->region == region) {
    MoveNearestOutside(candidates, region, kNearUpstreams);
  }
  candidates.resize(kept);
}

}  // namespace pathcleat
