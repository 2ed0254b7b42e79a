// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/warmth.hpp"

#include <algorithm>

namespace pathcleat {
namespace {

// Initial estimates weigh as much as kInitialRuns runs. Older runs decay to
// keep the total near kMaxRuns, so that the estimates reflect a changed fleet
// within as many runs.
constexpr double kInitialRuns = 6;
constexpr double kMaxRuns = 60;
constexpr double kInitialSent = 0.95;
constexpr std::array<double, 3> kInitialByRank = {0.8, 0.2, 0.1};
// A run that takes at least this many times as long as a warm run is cold. Run
// times of one kind vary by 15%; cold runs take about three times as long.
constexpr double kColdRunMultiple = 1.7;

}  // namespace

WarmthModel::WarmthModel(Duration target_latency, bool learns)
    : learns_(learns),
      warm_run_time_(target_latency * 2 / 5),
      cold_run_time_(target_latency * 6 / 5),
      sent_count_{kInitialSent * kInitialRuns, kInitialRuns},
      counts_by_rank_{} {
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    counts_by_rank_.at(rank) = {kInitialByRank.at(rank) * kInitialRuns,
                                kInitialRuns};
  }
}

WarmthModel::RunCount& WarmthModel::RunCountFor(
    const WarmthEvidence& evidence) {
  return evidence.sent_recently
             ? sent_count_
             : counts_by_rank_.at(std::min(evidence.rank, kRankCount - 1));
}

double WarmthModel::Probability(const WarmthEvidence& evidence) const {
  const RunCount& count =
      evidence.sent_recently
          ? sent_count_
          : counts_by_rank_.at(std::min(evidence.rank, kRankCount - 1));
  return count.warm / count.total;
}

bool WarmthModel::IsWarmRun(Duration run) const {
  const auto warm = static_cast<double>(warm_run_time_.value().count());
  return static_cast<double>(run.count()) < warm * kColdRunMultiple;
}

void WarmthModel::AddRun(RunCount& count, bool warm) {
  if (count.total >= kMaxRuns) {
    count.warm *= kMaxRuns / (kMaxRuns + 1);
    count.total *= kMaxRuns / (kMaxRuns + 1);
  }
  count.warm += warm ? 1 : 0;
  count.total += 1;
}

// Runs of keys that this host has sent recently count towards the warm run time
// even if they are long, capped at the cold threshold: otherwise an initial
// estimate that is too short would classify every run as cold.
bool WarmthModel::OnRun(const WarmthEvidence& evidence, Duration run) {
  const bool warm = IsWarmRun(run);
  if (learns_) {
    AddRun(RunCountFor(evidence), warm);
  }
  if (warm || evidence.sent_recently) {
    const auto max_micros = static_cast<Duration::rep>(
        static_cast<double>(warm_run_time_.value().count()) * kColdRunMultiple);
    warm_run_time_.Add(std::min(run, Duration(max_micros)));
  } else {
    cold_run_time_.Add(run);
  }
  return warm;
}

}  // namespace pathcleat
