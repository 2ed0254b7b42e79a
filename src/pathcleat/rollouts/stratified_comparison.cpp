// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/stratified_comparison.hpp"

#include <algorithm>

#include "pathcleat/rollouts/conditional_likelihood.hpp"

namespace pathcleat {
namespace {

// From versions that fail twice to three times as often, up to versions that
// fail always beside versions that fail at one response in 100.
constexpr std::array<double, 3> kOddsRatios = {3, 12, 50};

}  // namespace

void StratifiedComparison::Update(const std::vector<StratumCounts>& window,
                                  bool closes) {
  evidence_ = 0;
  for (std::size_t i = 0; i < kOddsCount; ++i) {
    double sum = closed_.at(i);
    for (const StratumCounts& stratum : window) {
      sum += LogConditionalRatio(stratum, kOddsRatios.at(i));
    }
    sum = std::max(0.0, sum);
    evidence_ = std::max(evidence_, sum);
    if (closes) {
      closed_.at(i) = sum;
    }
  }
}

}  // namespace pathcleat
