// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/warmth.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

// First guesses weigh as much as so many runs; older runs fade to keep their
// sum below the second figure, so that a changed fleet shows within as many.
constexpr double kGuessRuns = 6;
constexpr double kMostRuns = 60;
constexpr double kGuessSent = 0.95;
constexpr std::array<double, 3> kGuessByRank = {0.8, 0.2, 0.1};
// A run this many times as long as quick ones is a slow one. Run times of one
// kind vary by 15% here and there, slow ones are three times as long.
constexpr double kSlowMultiple = 1.7;

}  // namespace

WarmthModel::WarmthModel(Duration target_latency, bool learns)
    : learns_(learns),
      quick_(target_latency * 2 / 5),
      slow_(target_latency * 6 / 5),
      sent_{kGuessSent * kGuessRuns, kGuessRuns},
      by_rank_{} {
  for (std::size_t rank = 0; rank < kRanks; ++rank) {
    by_rank_.at(rank) = {kGuessByRank.at(rank) * kGuessRuns, kGuessRuns};
  }
}

WarmthModel::Chance& WarmthModel::ChanceOf(const WarmthEvidence& sign) {
  return sign.sent_recently ? sent_
                            : by_rank_.at(std::min(sign.rank, kRanks - 1));
}

double WarmthModel::Probability(const WarmthEvidence& sign) const {
  const Chance& chance =
      sign.sent_recently ? sent_ : by_rank_.at(std::min(sign.rank, kRanks - 1));
  return chance.quick / chance.all;
}

bool WarmthModel::IsWarmRun(Duration run) const {
  const auto quick = static_cast<double>(quick_.value().count());
  return static_cast<double>(run.count()) < quick * kSlowMultiple;
}

void WarmthModel::Count(Chance& chance, bool quick) {
  if (chance.all >= kMostRuns) {
    chance.quick *= kMostRuns / (kMostRuns + 1);
    chance.all *= kMostRuns / (kMostRuns + 1);
  }
  chance.quick += quick ? 1 : 0;
  chance.all += 1;
}

// Runs of keys that this host has sent before set the quick run time, however
// long they take, if not all at once: a first guess that is too short would
// else take every run for a slow one.
bool WarmthModel::OnRun(const WarmthEvidence& sign, Duration run) {
  const bool quick = IsWarmRun(run);
  if (learns_) {
    Count(ChanceOf(sign), quick);
  }
  if (quick || sign.sent_recently) {
    const auto longest = static_cast<Duration::rep>(
        static_cast<double>(quick_.value().count()) * kSlowMultiple);
    quick_.Add(std::min(run, Duration(longest)));
  } else {
    slow_.Add(run);
  }
  return quick;
}

}  // namespace pathcleat
