// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/rollouts/report_ages.hpp"

#include "pathcleat/rollouts/tally_table.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

constexpr std::uint64_t kOrder = 5;
const Time kStart{Duration(10'000'000)};

// Guards against a sum that looks recent while a part of the fleet is silent.
Test(report_ages, oldest_report_and_silent_sources_are_shown) {
  RolloutTally tally;
  tally.order_id = kOrder;
  TallyTable table(kOrder);
  cr_assert_not(table.AgesOfReports(kStart).newest.has_value());
  table.OnHostTally(1, tally, kStart);
  table.OnDomainTally("other", tally, kStart + Duration(1'000'000));
  const ReportAges recent = table.AgesOfReports(kStart + Duration(1'500'000));
  cr_assert(recent.newest == Duration(500'000));
  cr_assert(recent.oldest == Duration(1'500'000));
  cr_assert_eq(recent.overdue, 0);
  const ReportAges later = table.AgesOfReports(kStart + Duration(3'000'000));
  cr_assert(later.oldest == Duration(2'000'000));
  cr_assert_eq(later.overdue, 1);
}

}  // namespace
}  // namespace pathcleat
