// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/pinned_capacity.hpp"

#include <criterion/criterion.h>

namespace pathcleat {
namespace {

constexpr Duration kRun{400'000};
// Four times a second for ten seconds.
constexpr int kLong = 40;

// An account that sends 200 requests a second of 0.4 s to a region of 156
// slots takes half of them.
PinnedCapacity Settled(double per_second) {
  PinnedCapacity room;
  for (int i = 0; i < 300; ++i) {
    room.OnPlaced("s", kRun);
  }
  for (int i = 0; i < kLong; ++i) {
    room.SetDemand({{"north", per_second}});
  }
  return room;
}

Test(bound_room, demand_takes_its_part_of_its_region_alone) {
  PinnedCapacity room = Settled(200);
  cr_assert_float_eq(room.ShareOf("s", "north", 156), 0.5, 0.01);
  cr_assert_eq(room.ShareOf("s", "south", 156), 0.0);
  cr_assert_eq(room.ShareOf("other", "north", 156), 0.0);
}

Test(bound_room, services_take_by_their_part_of_the_requests) {
  PinnedCapacity room;
  for (int i = 0; i < 600; ++i) {
    room.OnPlaced(i % 3 == 0 ? "small" : "large", kRun);
  }
  for (int i = 0; i < kLong; ++i) {
    room.SetDemand({{"north", 300}});
  }
  cr_assert_float_eq(room.ShareOf("large", "north", 160), 0.5, 0.01);
  cr_assert_float_eq(room.ShareOf("small", "north", 80), 0.5, 0.01);
}

// Hosts hear of the demand a little differently and are to place keys alike.
Test(bound_room, small_differences_are_not_told) {
  PinnedCapacity room = Settled(200);
  const double before = room.ShareOf("s", "north", 156);
  for (int i = 0; i < kLong; ++i) {
    room.SetDemand({{"north", i % 2 == 0 ? 180.0 : 220.0}});
    cr_assert_eq(room.ShareOf("s", "north", 156), before);
  }
}

Test(bound_room, something_is_left_and_what_ends_is_given_back) {
  PinnedCapacity room = Settled(2'000);
  cr_assert_lt(room.ShareOf("s", "north", 156), 0.9);
  for (int i = 0; i < kLong; ++i) {
    room.SetDemand({});
  }
  cr_assert_eq(room.ShareOf("s", "north", 156), 0.0);
}

}  // namespace
}  // namespace pathcleat
