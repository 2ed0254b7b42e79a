// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/version_evaluator.hpp"

#include <algorithm>
#include <cmath>

namespace pathcleat {
namespace {

// A version is as good as the others up to this many more bad answers, so that
// the counts' own chance does not convict it, and bad from the second on.
constexpr double kGoodBeyondUsual = 0.02;
constexpr double kBadBeyondUsual = 0.07;
// Where many answers are bad anyway, chance moves their share more.
constexpr double kBadTimesUsual = 1.5;
// ln(1,000): one error in a thousand, either way.
constexpr double kSure = 6.907755;
// A version that is half convicted is not promoted.
constexpr double kInDoubt = kSure / 2;
// What is assumed of a version before anything was seen: 1 bad of 100, which
// counts as much as 50 answers.
constexpr double kAssumedBad = 0.5;
constexpr double kAssumedAnswers = 50;
// Beyond it the two hypotheses would pass certainty.
constexpr double kMostUsual = 0.5;

}  // namespace

double ExpectedBadRatio(const AnswerCounts& answers) {
  return (static_cast<double>(answers.bad) + kAssumedBad) /
         (static_cast<double>(answers.total()) + kAssumedAnswers);
}

void VersionEvaluator::Add(const AnswerCounts& answers, double usual) {
  const double base = std::min(usual, kMostUsual);
  const double good = base + kGoodBeyondUsual;
  const double bad = base * kBadTimesUsual + kBadBeyondUsual;
  const double step =
      static_cast<double>(answers.bad) * std::log(bad / good) +
      static_cast<double>(answers.good) * std::log((1 - bad) / (1 - good));
  ratio_ += step;
  worst_ = std::max(0.0, worst_ + step);
}

bool VersionEvaluator::IsBad() const {
  return worst_ >= kSure;
}

bool VersionEvaluator::IsGood() const {
  return ratio_ <= -kSure && worst_ < kInDoubt;
}

bool VersionEvaluator::IsLikelyGood() const {
  return ratio_ < 0 && worst_ < kInDoubt;
}

}  // namespace pathcleat
