// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/rollout_tally.hpp"

#include <algorithm>

namespace pathcleat {

void AnswerCounts::Add(const AnswerCounts& other) {
  good += other.good;
  bad += other.bad;
}

void AnswerCounts::MergeMax(const AnswerCounts& other) {
  good = std::max(good, other.good);
  bad = std::max(bad, other.bad);
}

}  // namespace pathcleat
