// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/telemetry/memory_monitor.hpp"

#include <numeric>

namespace pathcleat {
namespace {

std::uint64_t Sum(const MemoryCounts& counts) {
  return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
}

}  // namespace

void MemoryMonitor::Tick(const MemoryBudget& budget, Time now) {
  const std::uint64_t refused = Sum(budget.refused());
  const std::uint64_t reclaimed = Sum(budget.reclaimed());
  const bool was_short = is_short_;
  if (refused != refused_ || reclaimed != reclaimed_) {
    is_short_ = true;
    last_shortage_ = now;
  } else if (now - last_shortage_ >= kQuietTime) {
    is_short_ = false;
  }
  if (is_short_ && !was_short) {
    short_since_ = now;
    refused_at_start_ = refused_;
    reclaimed_at_start_ = reclaimed_;
    events_.Record(
        EventCode::kMemoryUsedUp, host_, "",
        {IntegerField(field::kLimitBytes, budget.limit()),
         IntegerField(field::kConnectionBytes,
                      budget.used(MemoryUse::kConnections)),
         IntegerField(field::kRequestBytes, budget.used(MemoryUse::kRequests)),
         IntegerField(field::kAnswerBytes, budget.used(MemoryUse::kAnswers))});
  } else if (was_short && !is_short_) {
    events_.Record(
        EventCode::kMemoryAvailable, host_, "",
        {MillisecondsField(field::kElapsedMs, last_shortage_ - short_since_),
         IntegerField(field::kRefused, refused - refused_at_start_),
         IntegerField(field::kGivenUp, reclaimed - reclaimed_at_start_)});
  }
  refused_ = refused;
  reclaimed_ = reclaimed;
}

}  // namespace pathcleat
