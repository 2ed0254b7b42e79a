// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/version_evaluator.hpp"

#include <algorithm>
#include <cmath>

namespace pathcleat {
namespace {

// Excess of the share of bad answers over the usual share. Up to kGoodExcess a
// version counts as good, so that random variation alone does not make it bad.
// From kBadExcess on (with kBadUsualFactor) the version counts as bad.
constexpr double kGoodExcess = 0.02;
constexpr double kBadExcess = 0.07;
// The share of a bad version also grows with the usual share by this factor:
// the higher the usual share, the more the share of bad answers varies by
// chance.
constexpr double kBadUsualFactor = 1.5;
// ln(1,000): an error probability of 1 in 1,000, in either direction.
constexpr double kDecisionThreshold = 6.907755;
// A version whose cumulative sum has reached half of kDecisionThreshold may be
// bad and is not promoted.
constexpr double kDoubtThreshold = kDecisionThreshold / 2;
// Prior of the share of bad answers, before there are answers: 1 in 100, with
// the weight of 50 answers.
constexpr double kPriorBad = 0.5;
constexpr double kPriorAnswers = 50;
// Upper bound of the usual share, so that the share of the bad hypothesis stays
// below 1.
constexpr double kMaxUsual = 0.5;

}  // namespace

double ExpectedBadRatio(const AnswerCounts& answers) {
  return (static_cast<double>(answers.bad) + kPriorBad) /
         (static_cast<double>(answers.total()) + kPriorAnswers);
}

void VersionEvaluator::Add(const AnswerCounts& answers, double usual) {
  const double base = std::min(usual, kMaxUsual);
  const double good = base + kGoodExcess;
  const double bad = base * kBadUsualFactor + kBadExcess;
  const double step =
      static_cast<double>(answers.bad) * std::log(bad / good) +
      static_cast<double>(answers.good) * std::log((1 - bad) / (1 - good));
  log_ratio_ += step;
  cumulative_sum_ = std::max(0.0, cumulative_sum_ + step);
}

bool VersionEvaluator::IsBad() const {
  return cumulative_sum_ >= kDecisionThreshold;
}

bool VersionEvaluator::IsGood() const {
  return log_ratio_ <= -kDecisionThreshold && cumulative_sum_ < kDoubtThreshold;
}

bool VersionEvaluator::IsLikelyGood() const {
  return log_ratio_ < 0 && cumulative_sum_ < kDoubtThreshold;
}

}  // namespace pathcleat
