// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/version_filter.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <string>

namespace pathcleat {
namespace {

// Keeps a share of each region's candidates, at least one: the upstreams with
// the lowest hashes.
void KeepSharePerRegion(std::vector<Candidate>& candidates, double share) {
  std::map<std::string, std::size_t> remaining;
  for (const Candidate& candidate : candidates) {
    ++remaining[candidate.upstream->region];
  }
  for (auto& [region, count] : remaining) {
    count =
        static_cast<std::size_t>(std::ceil(share * static_cast<double>(count)));
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.upstream->hash < b.upstream->hash;
            });
  std::erase_if(candidates, [&remaining](const Candidate& candidate) {
    std::size_t& free_places = remaining[candidate.upstream->region];
    return free_places == 0 || free_places-- == 0;
  });
}

}  // namespace

// In a trial of a version, all requests to that version go to only a few of its
// upstreams in each region, so that these upstreams are as busy as the
// upstreams of other versions.
void FilterByVersion(std::vector<Candidate>& candidates,
                     const VersionRule& rule) {
  std::erase_if(candidates, [&rule](const Candidate& candidate) {
    return !rule.Allows(candidate.upstream->info.version);
  });
  if (!rule.required_version.empty()) {
    KeepSharePerRegion(candidates, rule.upstream_share);
  }
}

}  // namespace pathcleat
