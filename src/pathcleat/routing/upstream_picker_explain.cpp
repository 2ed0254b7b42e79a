// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// What operators are shown of a choice.

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
  std::vector<Scored> scored;
  scored.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    scored.push_back(Score(candidate, request, now));
  }
  std::stable_sort(
      scored.begin(), scored.end(),
      [](const Scored& a, const Scored& b) { return a.worth > b.worth; });
  std::vector<Pick> picks;
  picks.reserve(scored.size());
  for (Scored& one : scored) {
    picks.push_back(std::move(one.pick));
  }
  return picks;
}

}  // namespace pathcleat
