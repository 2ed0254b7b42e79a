// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// The picker's ranking of upstreams, for operators.

#include <algorithm>
#include <utility>

#include "pathcleat/routing/upstream_picker.hpp"

namespace pathcleat {

std::vector<Pick> UpstreamPicker::Explain(const PickRequest& request,
                                          Time now) {
  std::vector<UpstreamPtr> passed_over;
  std::vector<Candidate> candidates = Candidates(request, passed_over, now);
  if (request.sticky) {
    RankByKey(candidates, request.key, SharesOf(request.service, now));
  }
  EstimateWarmth(candidates, request);
  std::vector<ScoredPick> scored;
  scored.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    scored.push_back(Score(candidate, request, now));
  }
  std::stable_sort(scored.begin(), scored.end(),
                   [](const ScoredPick& a, const ScoredPick& b) {
                     return a.score > b.score;
                   });
  std::vector<Pick> picks;
  picks.reserve(scored.size());
  for (ScoredPick& entry : scored) {
    picks.push_back(std::move(entry.pick));
  }
  return picks;
}

}  // namespace pathcleat
