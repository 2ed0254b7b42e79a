// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/forward_target.hpp"

#include <criterion/criterion.h>

#include <algorithm>

namespace pathcleat {
namespace {

const Time kStart(std::chrono::seconds(1'000));
constexpr Duration kHostTimeout{2'500'000};

HostInfo MakeHost(const std::string& name, const std::string& region) {
  HostInfo host;
  host.name = name;
  host.incarnation = 1;
  host.domain = region + "-1";
  host.region = region;
  return host;
}

struct Fleet {
  HostTable table{MakeHost("self", "north"), kHostTimeout};
  std::map<std::string, int> in_flight;
  std::set<std::string> excluded;
  std::function<bool(const std::string&)> may_enter = [](const std::string&) {
    return true;
  };
  std::uint64_t salt = 0;

  void Add(const std::string& name,
           const std::string& region,
           bool isolated = false,
           std::uint64_t config = 5) {
    HostInfo host = MakeHost(name, region);
    host.isolated = isolated;
    HostVersions versions;
    versions.config = config;
    table.OnHeartbeat(host, versions, kStart);
  }

  std::string Choose(Time now = kStart) {
    const HostEntry* chosen = ChooseForwardTarget(
        table, {5, may_enter, excluded, in_flight, ++salt}, now);
    return chosen == nullptr ? "" : chosen->info.name;
  }
};

Test(forward_target, is_near_and_reaches_the_upstreams) {
  Fleet fleet;
  fleet.Add("far", "south");
  fleet.Add("near-cut", "north", true);
  cr_assert_eq(fleet.Choose(), "far");
  fleet.Add("near", "north");
  cr_assert_eq(fleet.Choose(), "near");
}

// Guards against requests that go round between hosts that are all cut off.
Test(forward_target, none_while_all_hosts_are_isolated) {
  Fleet fleet;
  fleet.Add("a", "north", true);
  fleet.Add("b", "south", true);
  cr_assert_eq(fleet.Choose(), "");
}

Test(forward_target, silent_leaving_tried_or_older_hosts_are_left_out) {
  Fleet fleet;
  fleet.Add("old", "north", false, 4);
  cr_assert_eq(fleet.Choose(), "");
  fleet.Add("a", "north");
  cr_assert_eq(fleet.Choose(kStart + kHostTimeout + Duration(1)), "");
  fleet.excluded = {"a"};
  cr_assert_eq(fleet.Choose(), "");
}

// Guards against a body that leaves its homes.
Test(forward_target, body_stays_in_the_regions_that_it_may_enter) {
  Fleet fleet;
  fleet.Add("near", "north");
  fleet.Add("home", "south");
  fleet.may_enter = [](const std::string& region) { return region == "south"; };
  cr_assert_eq(fleet.Choose(), "home");
}

// Guards against many isolated hosts that overload the one neighbour left.
Test(forward_target, near_host_without_room_leaves_the_rest_to_others) {
  Fleet fleet;
  fleet.Add("near", "north");
  fleet.Add("far-a", "south");
  fleet.Add("far-b", "south");
  for (int i = 0; i < 96; ++i) {
    ++fleet.in_flight[fleet.Choose()];
  }
  cr_assert_leq(fleet.in_flight["near"], 40);
  cr_assert_geq(fleet.in_flight["far-a"], 24);
  cr_assert_geq(fleet.in_flight["far-b"], 24);
}

Test(forward_target, none_when_every_host_has_its_most) {
  Fleet fleet;
  fleet.Add("near", "north");
  int forwarded = 0;
  while (!fleet.Choose().empty()) {
    ++fleet.in_flight["near"];
    ++forwarded;
    cr_assert_leq(forwarded, 1'000);
  }
  cr_assert_gt(forwarded, 0);
}

}  // namespace
}  // namespace pathcleat
