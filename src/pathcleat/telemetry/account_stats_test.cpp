// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/telemetry/account_stats.hpp"

#include <criterion/criterion.h>

namespace pathcleat {
namespace {

// However many accounts there are, a page names a few.
Test(account_stats, busiest_and_most_refused_are_named) {
  constexpr std::size_t kMostNamed = 20;
  AccountStats stats;
  for (int i = 0; i < 5'000; ++i) {
    stats.OnAccepted("quiet-" + std::to_string(i));
  }
  cr_assert_gt(stats.uncounted(), 0U);
  AccountStats few;
  for (int i = 0; i < 100; ++i) {
    few.OnAccepted("quiet-" + std::to_string(i));
  }
  few.OnAccepted("busy");
  few.OnAccepted("busy");
  few.OnOverLimit("refused");
  const auto rows = few.TopAccounts();
  cr_assert_leq(rows.size(), kMostNamed);
  cr_assert_eq(rows.front().first, "busy");
  cr_assert_eq(rows.back().first, "refused");
  cr_assert_eq(few.CountsOf("busy").accepted, 2U);
  cr_assert_eq(few.CountsOf("unknown").accepted, 0U);
}

}  // namespace
}  // namespace pathcleat
