// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/telemetry/version_stats.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(50'000'000)};

// Guards against a metrics page that grows with the names in the list of
// upstreams. Fails with the size check in BoundedEntry switched off.
Test(version_stats, names_are_bounded_and_no_attempt_is_lost) {
  VersionStats stats;
  constexpr int kNames = 200;
  for (int i = 0; i < kNames; ++i) {
    stats.OnSent("s" + std::to_string(i), "v" + std::to_string(i), kStart);
    stats.OnSent("s0", "v" + std::to_string(i), kStart);
  }
  std::uint64_t sent = 0;
  cr_assert_leq(stats.by_service().size(), VersionStats::kMaxServices + 1);
  for (const auto& [service, versions] : stats.by_service()) {
    cr_assert_leq(versions.size(), VersionStats::kMaxVersions + 1);
    for (const auto& [version, counts] : versions) {
      sent += counts.sent;
    }
  }
  cr_assert_eq(sent, 2U * kNames);
}

// Guards against latencies of attempts that were never answered in the
// histogram of answers.
Test(version_stats, only_answers_count_in_the_latency) {
  VersionStats stats;
  for (const AttemptOutcome outcome : kAttemptOutcomes) {
    stats.OnEnded("s", "v2", outcome, Duration(20'000));
  }
  const VersionCounts& counts = stats.by_service().at("s").at("v2");
  cr_assert_eq(counts.latency.CountUpTo(Histogram::kBucketBounds.size()), 2U);
  for (const AttemptOutcome outcome : kAttemptOutcomes) {
    cr_assert_eq(counts.CountOf(outcome), 1U);
  }
}

// Guards against a share of the last seconds that contains older requests.
Test(recent_count, older_events_are_left_out) {
  RecentCount count;
  count.Add(kStart);
  count.Add(kStart + RecentCount::kWindow / 2);
  cr_assert_eq(count.Count(kStart + RecentCount::kWindow / 2), 2U);
  cr_assert_eq(count.Count(kStart + RecentCount::kWindow), 2U);
  count.Add(kStart + RecentCount::kWindow);
  cr_assert_eq(count.Count(kStart + RecentCount::kWindow), 3U);
  cr_assert_eq(count.Count(kStart + 2 * RecentCount::kWindow), 1U);
  cr_assert_eq(count.Count(kStart + 4 * RecentCount::kWindow), 0U);
}

}  // namespace
}  // namespace pathcleat
