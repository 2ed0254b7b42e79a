// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/region_shares.hpp"

#include "property.hpp"

namespace pathcleat {
namespace {

UpstreamState UpstreamIn(const std::string& region, int slots) {
  UpstreamInfo info;
  info.id = region;
  info.slots = slots;
  UpstreamState upstream(info);
  upstream.region = region;
  return upstream;
}

// Share of the own region's keys that a region serves: the weight of all its
// slots.
double RegionWeight(const RegionShares& shares,
                    const std::string& region,
                    const RegionCapacity& capacity) {
  return capacity.slots > 0
             ? shares.WeightOf(UpstreamIn(region, 1)) * capacity.slots
             : 0;
}

Test(region_shares, all_keys_have_an_upstream) {
  cr_assert(Holds("the weights of all regions add up to one", [] {
    std::map<std::string, RegionCapacity> regions;
    double slots = 0;
    for (const std::string name : {"a", "b", "c"}) {
      regions[name].slots = *rc::gen::inRange(0, 200);
      regions[name].hosts = *rc::gen::inRange(0, 30);
      slots += regions[name].slots;
    }
    RC_PRE(regions["b"].slots + regions["c"].slots > 0);
    RegionShares shares("a", true);
    shares.Update(regions);
    double sum = 0;
    for (const auto& [name, capacity] : regions) {
      sum += RegionWeight(shares, name, capacity);
    }
    RC_ASSERT(std::abs(sum - 1) < 1e-9);
  }));
}

// Guards against a changed choice where regions do not differ, or one is lost.
Test(region_shares, uneven_means_twice_the_slots_for_each_host) {
  const auto is_uneven =
      [](const std::map<std::string, RegionCapacity>& regions) {
        RegionShares shares("a", true);
        shares.Update(regions);
        return shares.IsUneven();
      };
  cr_assert(is_uneven({{"a", {66, 26}}, {"b", {291, 26}}, {"c", {291, 26}}}));
  cr_assert_not(is_uneven({{"a", {60, 20}}, {"b", {120, 20}}}));
  cr_assert_not(is_uneven({{"a", {60, 10}}, {"b", {180, 30}}}));
  cr_assert_not(is_uneven({{"a", {60, 20}}, {"b", {0, 20}}}));
  cr_assert_not(is_uneven({{"a", {60, 20}}, {"b", {60, 0}}}));
  cr_assert_not(is_uneven({}));
}

// Guards against other callers being placed on slots that a pinned account
// uses. An account restricted to the smallest region uses half of it: other
// callers are placed as if the region had half of its slots. Fails with
// capacity.pinned_share left out of UnpinnedSlots.
Test(region_shares, slots_of_pinned_accounts_are_left_to_them) {
  std::map<std::string, RegionCapacity> regions{
      {"north", {156, 20}}, {"west", {744, 24}}, {"south", {624, 22}}};
  RegionShares north("north", true);
  north.Update(regions);
  const double before = RegionWeight(north, "north", regions["north"]);
  regions["north"].pinned_share = 0.5;
  north.Update(regions);
  const double after = RegionWeight(north, "north", regions["north"]);
  cr_assert_gt(after, before * 0.45);
  cr_assert_lt(after, before * 0.58);
  double sum = 0;
  for (const auto& [name, capacity] : regions) {
    sum += RegionWeight(north, name, capacity);
  }
  cr_assert_float_eq(sum, 1, 1e-9);
}

// Fails with kCapacityPlacedShare at 0.
Test(region_shares, region_with_capacity_keeps_most_of_its_keys) {
  const std::map<std::string, RegionCapacity> regions{
      {"north", {10, 4}}, {"west", {40, 4}}, {"south", {50, 4}}};
  RegionShares south("south", true);
  south.Update(regions);
  cr_assert_eq(south.HomeShare(), 1);
  cr_assert_gt(RegionWeight(south, "south", regions.at("south")), 0.7);
  RegionShares north("north", true);
  north.Update(regions);
  // The region has 10 slots, while its callers need a third of 100.
  cr_assert_float_eq(north.HomeShare(), 0.3, 1e-9);
  cr_assert_lt(RegionWeight(north, "north", regions.at("north")), 0.3);
}

// Guards against shares that together overload a region: what all regions send
// to one region is within a fifth of its share of all slots.
Test(region_shares, regions_are_about_equally_busy) {
  const std::map<std::string, RegionCapacity> regions{
      {"north", {10, 4}}, {"west", {40, 4}}, {"south", {50, 4}}};
  for (const auto& [target, capacity] : regions) {
    double sent = 0;
    for (const auto& [from, unused] : regions) {
      RegionShares shares(from, true);
      shares.Update(regions);
      sent += RegionWeight(shares, target, capacity) / 3;
    }
    cr_assert_float_eq(sent, capacity.slots / 100, 0.2 * capacity.slots / 100,
                       "%s gets %f of all", target.c_str(), sent);
  }
}

Test(region_shares, without_home_preference_slots_alone_count) {
  const std::map<std::string, RegionCapacity> regions{{"north", {10, 4}},
                                                      {"south", {30, 4}}};
  RegionShares shares("north", false);
  shares.Update(regions);
  cr_assert_float_eq(RegionWeight(shares, "north", regions.at("north")), 0.25,
                     1e-9);
}

Test(region_shares, region_without_upstreams_sends_all_elsewhere) {
  const std::map<std::string, RegionCapacity> regions{{"north", {0, 4}},
                                                      {"south", {30, 4}}};
  RegionShares shares("north", true);
  shares.Update(regions);
  cr_assert_float_eq(RegionWeight(shares, "south", regions.at("south")), 1,
                     1e-9);
}

}  // namespace
}  // namespace pathcleat
