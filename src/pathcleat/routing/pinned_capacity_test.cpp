// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/pinned_capacity.hpp"

#include <criterion/criterion.h>

namespace pathcleat {
namespace {

constexpr Duration kRun{400'000};
// Updates in ten seconds, at four a second.
constexpr int kUpdates = 40;

// The capacity after ten seconds of demand. An account that sends 200 requests
// a second of 0.4 s each to a region of 156 slots uses half of them.
PinnedCapacity SettledCapacity(double per_second) {
  PinnedCapacity capacity;
  for (int i = 0; i < 300; ++i) {
    capacity.OnPlaced("s", kRun);
  }
  for (int i = 0; i < kUpdates; ++i) {
    capacity.SetDemand({{"north", per_second}});
  }
  return capacity;
}

Test(pinned_capacity, demand_uses_slots_of_its_own_region_alone) {
  PinnedCapacity capacity = SettledCapacity(200);
  cr_assert_float_eq(capacity.ShareOf("s", "north", 156), 0.5, 0.01);
  cr_assert_eq(capacity.ShareOf("s", "south", 156), 0.0);
  cr_assert_eq(capacity.ShareOf("other", "north", 156), 0.0);
}

Test(pinned_capacity, services_use_slots_by_their_share_of_the_requests) {
  PinnedCapacity capacity;
  for (int i = 0; i < 600; ++i) {
    capacity.OnPlaced(i % 3 == 0 ? "small" : "large", kRun);
  }
  for (int i = 0; i < kUpdates; ++i) {
    capacity.SetDemand({{"north", 300}});
  }
  cr_assert_float_eq(capacity.ShareOf("large", "north", 160), 0.5, 0.01);
  cr_assert_float_eq(capacity.ShareOf("small", "north", 80), 0.5, 0.01);
}

// Hosts receive slightly different figures of the demand and must place keys
// alike.
Test(pinned_capacity, small_differences_do_not_change_the_share) {
  PinnedCapacity capacity = SettledCapacity(200);
  const double before = capacity.ShareOf("s", "north", 156);
  for (int i = 0; i < kUpdates; ++i) {
    capacity.SetDemand({{"north", i % 2 == 0 ? 180.0 : 220.0}});
    cr_assert_eq(capacity.ShareOf("s", "north", 156), before);
  }
}

Test(pinned_capacity, share_is_bounded_and_ends_with_the_demand) {
  PinnedCapacity capacity = SettledCapacity(2'000);
  cr_assert_lt(capacity.ShareOf("s", "north", 156), 0.9);
  for (int i = 0; i < kUpdates; ++i) {
    capacity.SetDemand({});
  }
  cr_assert_eq(capacity.ShareOf("s", "north", 156), 0.0);
}

}  // namespace
}  // namespace pathcleat
