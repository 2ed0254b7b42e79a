// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/feeds/config_lag.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

constexpr Duration kReportTtl{2'500'000};
constexpr Duration kSecond{1'000'000};
const Time kStart{100 * kSecond};

Test(config_lag, time_counts_from_the_first_host_that_had_the_version) {
  ConfigLag lag(kReportTtl);
  lag.OnApplied(5);
  cr_assert_not(lag.IsBehind(kStart));
  lag.OnPeerVersion(7, Duration(0), kStart);
  lag.OnPeerVersion(7, 2 * kSecond, kStart);
  lag.OnPeerVersion(7, kSecond, kStart);
  cr_assert(lag.LagDuration(kStart + kSecond) == 3 * kSecond);
}

// Versions come into force one after another. A host that applies each version
// only after a newer one is in force must not count as up to date.
Test(config_lag, newer_versions_do_not_hide_the_first_one_missing) {
  ConfigLag lag(kReportTtl);
  lag.OnApplied(5);
  lag.OnPeerVersion(7, kSecond, kStart);
  lag.OnPeerVersion(9, Duration(0), kStart + kSecond);
  cr_assert(lag.LagDuration(kStart + kSecond) == 2 * kSecond);
  lag.OnApplied(7);
  cr_assert(lag.LagDuration(kStart + kSecond) == Duration::zero());
  cr_assert(lag.IsBehind(kStart + kSecond));
  lag.OnApplied(9);
  cr_assert_not(lag.IsBehind(kStart + kSecond));
}

Test(config_lag, versions_that_no_host_reports_any_more_are_dropped) {
  ConfigLag lag(kReportTtl);
  lag.OnApplied(5);
  lag.OnPeerVersion(7, Duration(0), kStart);
  const Time later = kStart + kReportTtl + Duration(1);
  cr_assert_not(lag.IsBehind(later));
  cr_assert(lag.LagDuration(later) == Duration::zero());
  lag.OnPeerVersion(7, Duration(0), later);
  cr_assert(lag.LagDuration(later) == Duration::zero());
}

}  // namespace
}  // namespace pathcleat
