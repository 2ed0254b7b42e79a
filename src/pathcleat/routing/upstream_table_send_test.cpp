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
  blocks(SendBlock::kBackoff, [](TableFixture& f) {
    f.table.StartBackoff(f.upstream(), kSecond, 0, kStart);
  });
  blocks(SendBlock::kRateShare, [](TableFixture& f) {
    f.table.UpdateLimit(f.upstream(), {1, kStart, "host", "d"}, kStart);
    f.upstream()->rate_share.SetRate(0, kStart);
    f.upstream()->rate_share.TryAcquire(kStart);
  });
}

// Guards against an upstream that gets no trial any more, as one was withdrawn
// before it was sent.
Test(upstream_table, withdrawn_trial_makes_room_for_the_next) {
  TableFixture fixture;
  fixture.table.StartBackoff(fixture.upstream(), kSecond, 0, kStart);
  const Time after = kStart + kSecond;
  SendReservation held;
  fixture.table.Reserve(*fixture.upstream(), held, after);
  cr_assert(held.trial);
  cr_assert(fixture.BlockAt(after) == SendBlock::kBackoff);
  cr_assert(fixture.table.Reserve(*fixture.upstream(), held, after) ==
            SendBlock::kNone);
  fixture.table.Release(*fixture.upstream(), held, false, after);
  cr_assert(fixture.BlockAt(after) == SendBlock::kNone);
}

// Guards against slots of an upstream in backoff that count as room.
Test(upstream_table, upstream_in_backoff_has_no_usable_slots) {
  TableFixture fixture;
  const std::uint64_t revision = fixture.table.revision();
  fixture.table.StartBackoff(fixture.upstream(), kSecond, 0, kStart);
  cr_assert_neq(fixture.table.revision(), revision);
  cr_assert_float_eq(fixture.upstream()->UsableSlots(0.2, kStart), 0, 1e-9);
  cr_assert(fixture.table.EndBackoffs(kStart).empty());
  cr_assert_eq(fixture.table.EndBackoffs(kStart + kSecond).size(), 1U);
  cr_assert(fixture.table.BackingOff().empty());
  cr_assert_float_eq(fixture.upstream()->UsableSlots(0.2, kStart + kSecond), 1,
                     1e-9);
}

// A lapsed entry may return, but not that of an upstream that leaves.
Test(upstream_table, upstream_that_announced_leaving_does_not_lapse) {
  TableFixture fixture;
  fixture.table.UpdateLeaving("i", {0, true, kStart, "host", "d"});
  cr_assert_not(fixture.table.Lapse("i", kStart + kSecond));
}

}  // namespace
}  // namespace pathcleat
