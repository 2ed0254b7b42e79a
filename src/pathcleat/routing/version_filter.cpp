// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/version_filter.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <string>

namespace pathcleat {
namespace {

// The part of each region's candidates, one at least, that ranks first by hash.
void KeepFirstOfRegions(std::vector<Candidate>& candidates, double part) {
  std::map<std::string, std::size_t> left;
  for (const Candidate& candidate : candidates) {
    ++left[candidate.upstream->region];
  }
  for (auto& [region, count] : left) {
    count =
        static_cast<std::size_t>(std::ceil(part * static_cast<double>(count)));
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.upstream->hash < b.upstream->hash;
            });
  std::erase_if(candidates, [&left](const Candidate& candidate) {
    std::size_t& places = left[candidate.upstream->region];
    return places == 0 || places-- == 0;
  });
}

}  // namespace

// Of a version that is being tried, the few that rank first in each region get
// all that goes there, so that they are as busy as the others.
void FilterByVersion(std::vector<Candidate>& candidates,
                     const VersionRule& rule) {
  std::erase_if(candidates, [&rule](const Candidate& candidate) {
    return !rule.Allows(candidate.upstream->info.version);
  });
  if (!rule.required_version.empty()) {
    KeepFirstOfRegions(candidates, rule.upstream_share);
  }
}

}  // namespace pathcleat
