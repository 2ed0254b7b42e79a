// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/accounts/peer_usage.hpp"

#include <criterion/criterion.h>

#include "mutated_bytes.hpp"
#include "pathcleat/core/outside_bounds.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

const Time kNow{Duration(1'000'000)};

UsageReport MakeReport(int accounts, std::uint64_t time) {
  UsageReport report;
  report.domain = "b";
  report.time.micros = time;
  for (int i = 0; i < accounts; ++i) {
    const auto id = static_cast<std::uint64_t>(i) * 7'919;
    report.entries.push_back({id, 2, 2, 1});
  }
  return report;
}

void Receive(PeerUsage& usage, const UsageReport& report) {
  for (const UsageReport& part : SplitUsage(report)) {
    cr_assert_leq(part.entries.size(), kMaxUsageEntries);
    const auto decoded = DecodeUsage(EncodeUsage(part));
    cr_assert(decoded.has_value());
    usage.OnReport(*decoded, kNow);
  }
}

// Guards against accounts beyond those of one datagram that count as unused,
// and against a part that removes the accounts of the other parts.
Test(peer_usage, report_in_parts_is_complete) {
  PeerUsage usage("a", "host");
  Receive(usage, MakeReport(150, 1));
  for (const UsageEntry& entry : MakeReport(150, 1).entries) {
    cr_assert_float_eq(usage.UsageOf(entry.account_id).demand, 2, 1e-6);
  }
  Receive(usage, MakeReport(40, 2));
  const auto gone = MakeReport(150, 1).entries.back().account_id;
  cr_assert_float_eq(usage.UsageOf(gone).demand, 0, 1e-6);
  cr_assert_float_eq(usage.UsageOf(0).demand, 2, 1e-6);
  Receive(usage, MakeReport(150, 1));
  cr_assert_float_eq(usage.UsageOf(gone).demand, 0, 1e-6, "an older report");
}

// Earlier versions of a host send no bytes after the report.
Test(peer_usage, report_without_a_part_number_is_whole) {
  const std::string bytes = EncodeUsage(MakeReport(3, 1));
  const auto report = DecodeUsage(bytes.substr(0, bytes.size() - 3));
  cr_assert(report.has_value());
  cr_assert_eq(report->part_count, 1);
  cr_assert_eq(report->entries.size(), 3U);
}

// Guards against a division by zero, and a part that covers no account.
Test(peer_usage, report_with_an_invalid_part_is_rejected) {
  std::string bytes = EncodeUsage(MakeReport(3, 1));
  bytes[bytes.size() - 2] = '\0';
  cr_assert_not(DecodeUsage(bytes).has_value());
}

// Guards against rates of another host with which the sums over all hosts are
// useless.
Test(peer_usage, mutated_reports_have_rates_in_range_or_are_rejected) {
  const std::string encoded = EncodeUsage(MakeReport(3, 1));
  cr_assert(Holds(
      "0 <= rate <= kMaxOutsideQuantity",
      [&encoded] {
        const auto report = DecodeUsage(MutatedBytes(encoded));
        for (const UsageEntry& entry : report.value_or(UsageReport()).entries) {
          RC_ASSERT(IsInOutsideRange(double{entry.demand}));
          RC_ASSERT(IsInOutsideRange(double{entry.share_weight}));
          RC_ASSERT(IsInOutsideRange(double{entry.admitted}));
        }
      },
      3'000));
}

}  // namespace
}  // namespace pathcleat
