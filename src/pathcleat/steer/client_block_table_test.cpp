// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/steer/client_block_table.hpp"

#include <vector>

#include "property.hpp"

namespace pathcleat {
namespace {

constexpr std::uint32_t kGridSize = 4'096;
constexpr std::uint32_t kGridStep = 1U << 18;

// Compares the table with a plain array that gets the same assignments. The
// blocks start and end on a coarse grid of addresses.
Test(client_block_table, agrees_with_a_plain_array) {
  cr_assert(Holds("any assignments, compacted at any time", [] {
    std::vector<std::uint16_t> expected(kGridSize, 0);
    ClientBlockTable table({});
    const auto steps =
        *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange<int>(0, kGridSize),
                           rc::gen::inRange(1, 600), rc::gen::inRange(0, 9)));
    for (const auto& [first, length, region] : steps) {
      if (region == 0) {
        table.Compact();
        continue;
      }
      const auto last = std::min<std::uint32_t>(
          kGridSize - 1, static_cast<std::uint32_t>(first + length - 1));
      for (std::uint32_t i = static_cast<std::uint32_t>(first); i <= last;
           ++i) {
        expected[i] = static_cast<std::uint16_t>(region);
      }
      table.Assign(static_cast<std::uint32_t>(first) * kGridStep,
                   last * kGridStep + (kGridStep - 1),
                   static_cast<std::uint16_t>(region));
    }
    for (std::uint32_t i = 0; i < kGridSize; ++i) {
      RC_ASSERT(table.Find(i * kGridStep) == expected[i]);
      RC_ASSERT(table.Find(i * kGridStep + kGridStep - 1) == expected[i]);
    }
  }));
}

Test(client_block_table, initial_rows_are_found) {
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
