// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/telemetry/account_stats.hpp"

#include <criterion/criterion.h>

namespace pathcleat {
namespace {

// Guards against a metrics page that grows with the number of accounts.
Test(account_stats, only_busiest_and_most_refused_accounts_are_listed) {
  constexpr std::size_t kMaxListed = 20;
  AccountStats stats;
  for (int i = 0; i < 5'000; ++i) {
    stats.OnAccepted("quiet-" + std::to_string(i));
  }
  cr_assert_gt(stats.uncounted(), 0U);
  AccountStats small_stats;
  for (int i = 0; i < 100; ++i) {
    small_stats.OnAccepted("quiet-" + std::to_string(i));
  }
  small_stats.OnAccepted("busy");
  small_stats.OnAccepted("busy");
  small_stats.OnOverLimit("refused");
  const auto rows = small_stats.TopAccounts();
  cr_assert_leq(rows.size(), kMaxListed);
  cr_assert_eq(rows.front().first, "busy");
  cr_assert_eq(rows.back().first, "refused");
  cr_assert_eq(small_stats.CountsOf("busy").accepted, 2U);
  cr_assert_eq(small_stats.CountsOf("unknown").accepted, 0U);
}

// Guards against accounts that starve unseen among well-served ones, because
// only their count of refusals beyond the limit was shown.
Test(account_stats, tenth_with_the_lowest_share_is_named) {
  AccountStats stats;
  for (int i = 0; i < 20; ++i) {
    for (int k = 0; k < 10; ++k) {
      stats.OnAccepted("served-" + std::to_string(i));
    }
  }
  stats.OnAccepted("over");
  stats.OnOverLimit("over");
  stats.OnAccepted("crowded-out");
  stats.OnAccepted("crowded-out");
  stats.OnAccepted("crowded-out");
  stats.OnNotRun("crowded-out");
  const auto rows = stats.LeastServed();
  cr_assert_eq(rows.size(), 3U);
  cr_assert_eq(rows[0].first, "over");
  cr_assert_float_eq(rows[0].second.ServedShare(), 0.5, 1e-9);
  cr_assert_eq(rows[1].first, "crowded-out");
  cr_assert_float_eq(rows[1].second.ServedShare(), 2.0 / 3, 1e-9);
  cr_assert(AccountStats().LeastServed().empty());
}

}  // namespace
}  // namespace pathcleat
