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
    Add(host, config);
  }

  void Add(const HostInfo& host, std::uint64_t config = 5) {
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

// Guards against small hosts that get as many forwarded requests as large ones.
// Without capacities, each of the four hosts gets 16.
Test(forward_target, hosts_get_requests_in_proportion_to_their_capacity) {
  Fleet fleet;
  for (const std::string name : {"large-a", "large-b", "small-a", "small-b"}) {
    HostInfo host = MakeHost(name, "north");
    const bool large = name.starts_with("large");
    host.capacity = {large ? 0.5 : 0.1, large ? 8'192U : 4'100U};
    host.link_mbps = large ? 200 : 50;
    fleet.Add(host);
  }
  for (int i = 0; i < 30; ++i) {
    ++fleet.in_flight[fleet.Choose()];
  }
  cr_assert_geq(fleet.in_flight["large-a"], 12);
  cr_assert_geq(fleet.in_flight["large-b"], 12);
  cr_assert_leq(fleet.in_flight["small-a"], 3);
  cr_assert_leq(fleet.in_flight["small-b"], 3);
}

// Guards against a fleet whose smallest hosts never take a request although all
// larger ones are gone or full.
Test(forward_target, smallest_host_takes_a_request) {
  Fleet fleet;
  HostInfo large = MakeHost("large", "north");
  large.capacity = {4, 0};
  fleet.Add(large);
  HostInfo small = MakeHost("small", "north");
  small.capacity = {0.01, 0};
  fleet.Add(small);
  for (int i = 0; i < 65; ++i) {
    ++fleet.in_flight[fleet.Choose()];
  }
  cr_assert_eq(fleet.in_flight["small"], 1);
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
