// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/client_block_table.hpp"

#include <vector>

#include "property.hpp"

namespace pathcleat {
namespace {

constexpr std::uint32_t kAddresses = 4'096;
constexpr std::uint32_t kSpread = 1U << 18;

// The same assignments in a plain array, on a coarse grid of addresses.
Test(block_table, finds_what_a_plain_array_finds) {
  cr_assert(Holds("any assignments, compacted at any time", [] {
    std::vector<std::uint16_t> plain(kAddresses, 0);
    ClientBlockTable table({});
    const auto steps =
        *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange<int>(0, kAddresses),
                           rc::gen::inRange(1, 600), rc::gen::inRange(0, 9)));
    for (const auto& [first, length, site] : steps) {
      if (site == 0) {
        table.Compact();
        continue;
      }
      const auto last = std::min<std::uint32_t>(
          kAddresses - 1, static_cast<std::uint32_t>(first + length - 1));
      for (std::uint32_t i = static_cast<std::uint32_t>(first); i <= last;
           ++i) {
        plain[i] = static_cast<std::uint16_t>(site);
      }
      table.Assign(static_cast<std::uint32_t>(first) * kSpread,
                   last * kSpread + (kSpread - 1),
                   static_cast<std::uint16_t>(site));
    }
    for (std::uint32_t i = 0; i < kAddresses; ++i) {
      RC_ASSERT(table.Find(i * kSpread) == plain[i]);
      RC_ASSERT(table.Find(i * kSpread + kSpread - 1) == plain[i]);
    }
  }));
}

Test(block_table, rows_given_at_the_start_are_found) {
  const ClientBlockTable table(
      {{0x0A000000, 1}, {0x0B000000, 2}, {0xFFFFFFFF, 3}});
  cr_assert_eq(table.Find(0x09FFFFFF), 0);
  cr_assert_eq(table.Find(0x0A000000), 1);
  cr_assert_eq(table.Find(0x0AFFFFFF), 1);
  cr_assert_eq(table.Find(0x0B000000), 2);
  cr_assert_eq(table.Find(0xFFFFFFFE), 2);
  cr_assert_eq(table.Find(0xFFFFFFFF), 3);
}

}  // namespace
}  // namespace pathcleat
