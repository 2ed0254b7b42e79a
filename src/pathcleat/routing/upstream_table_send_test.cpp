// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Whether a request may be sent to an upstream, and what it reserves there.

#include "pathcleat/routing/upstream_table.hpp"

#include <functional>

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{std::chrono::hours(1)};
constexpr Duration kSecond{1'000'000};

struct TableFixture {
  TableFixture() : table(std::map<std::string, std::string>{{"d", "r"}}) {
    info.id = "i";
    info.service = "s";
    info.domain = "d";
    table.Put(info, kStart);
  }
  UpstreamPtr upstream() { return table.Find("i"); }
  SendBlock BlockAt(Time now) { return table.BlockOf(*upstream(), {}, now); }

  UpstreamTable table;
  UpstreamInfo info;
};

// Guards against one of the reasons being asked at the choice and not before
// the first byte, or the reverse.
Test(upstream_table, each_reason_blocks_a_choice_and_a_send) {
  const auto blocks = [](SendBlock expected,
                         const std::function<void(TableFixture&)>& change) {
    TableFixture fixture;
    SendReservation held;
    cr_assert(fixture.table.Reserve(*fixture.upstream(), held, kStart) ==
              SendBlock::kNone);
    const UpstreamPtr upstream = fixture.upstream();
    change(fixture);
    cr_assert(fixture.table.BlockOf(*upstream, {}, kStart) == expected);
    cr_assert(fixture.table.Reserve(*upstream, held, kStart) == expected);
  };
  blocks(SendBlock::kClosed, [](TableFixture& f) { f.table.Remove("i"); });
  blocks(SendBlock::kClosed, [](TableFixture& f) {
    f.info.leaving = true;
    f.table.Put(f.info, kStart);
  });
  blocks(SendBlock::kClosed,
         [](TableFixture& f) { f.table.SetDomainDrained("d", true); });
  blocks(SendBlock::kLeaving, [](TableFixture& f) {
    f.table.UpdateLeaving("i", {0, true, kStart, "host", "d"});
  });
  blocks(SendBlock::kRateShare, [](TableFixture& f) {
    f.table.UpdateLimit(f.upstream(), {1, kStart, "host", "d"}, kStart);
    f.upstream()->rate_share.SetRate(0, kStart);
    f.upstream()->rate_share.TryAcquire(kStart);
  });
}

// A lapsed entry may return, but not that of an upstream that leaves.
Test(upstream_table, upstream_that_announced_leaving_does_not_lapse) {
  TableFixture fixture;
  fixture.table.UpdateLeaving("i", {0, true, kStart, "host", "d"});
  cr_assert_not(fixture.table.Lapse("i", kStart + kSecond));
}

}  // namespace
}  // namespace pathcleat
