// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/version_filter.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

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
// all that goes there, so that they are as busy as the others. A rule that
// leaves nothing is passed over but for a trial: what runs serves.
void KeepVersions(std::vector<Candidate>& candidates, const VersionRule& rule) {
  std::vector<Candidate> allowed;
  for (const Candidate& candidate : candidates) {
    if (rule.Allows(candidate.upstream->info.version)) {
      allowed.push_back(candidate);
    }
  }
  if (!rule.only.empty()) {
    KeepFirstOfRegions(allowed, rule.part);
    candidates = std::move(allowed);
  } else if (!allowed.empty()) {
    candidates = std::move(allowed);
  }
}

}  // namespace pathcleat
