// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/version_evaluator.hpp"

#include <algorithm>
#include <cmath>

namespace pathcleat {
namespace {

// The share of a good version may exceed the usual share by this factor, as the
// versions' upstreams differ: some are degraded, or serve more popular keys.
constexpr double kGoodUsualFactor = 1.2;
// The share of a bad version also grows with the usual share by this factor:
// the higher the usual share, the more the share varies by chance.
constexpr double kBadUsualFactor = 1.5;
// Upper bound of the usual share, so that the share of the bad hypothesis stays
// below 1.
constexpr double kMaxUsual = 0.5;

}  // namespace

void VersionEvaluator::Add(const ResponseCounts& responses, double usual) {
  const double base = std::min(usual, kMaxUsual);
  const double good = base * kGoodUsualFactor + hypotheses_.good_excess;
  const double bad = base * kBadUsualFactor + hypotheses_.bad_excess;
  const double events = responses.events;
  const double others = responses.total - responses.events;
  evidence_of_good_ +=
      events * std::log(good / bad) + others * std::log((1 - good) / (1 - bad));
}

}  // namespace pathcleat
