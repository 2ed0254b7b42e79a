// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/up_to_date_host.hpp"

#include <set>

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(1'000'000)};
constexpr Duration kSilence{2'500'000};

HostInfo HostAt(const std::string& name,
                const std::string& domain,
                const std::string& region,
                double link_mbps) {
  HostInfo host;
  host.name = name;
  host.incarnation = 1;
  host.domain = domain;
  host.region = region;
  host.link_mbps = link_mbps;
  return host;
}

struct InformedWorld {
  void Hear(const HostInfo& host, std::uint64_t orders) {
    HostVersions versions;
    versions.orders = orders;
    table.OnHeartbeat(host, versions, kStart);
  }

  std::string Choose(std::uint64_t salt = 0, Time now = kStart) const {
    const KnownHost* host = ChooseUpToDateHost(
        table, [](const HostVersions& v) { return v.orders > 7; }, salt, now);
    return host == nullptr ? "" : host->info.name;
  }

  HostTable table{HostAt("self", "d", "r", 10), kSilence};
};

// Whoever was heard first to know more was asked: one thin host of another
// region by a whole domain (issue 22). Checked to fail without the distance
// and without the link in the rank.
Test(informed_choice, near_host_with_a_wide_link_is_asked) {
  InformedWorld world;
  world.Hear(HostAt("far-wide", "e", "s", 1'000), 9);
  cr_assert_str_eq(world.Choose().c_str(), "far-wide");
  world.Hear(HostAt("near-thin", "d", "r", 10), 9);
  cr_assert_str_eq(world.Choose().c_str(), "near-thin");
  world.Hear(HostAt("near-wide", "d", "r", 200), 9);
  world.Hear(HostAt("near-wider-but-behind", "d", "r", 400), 7);
  for (std::uint64_t salt = 0; salt < 20; ++salt) {
    cr_assert_str_eq(world.Choose(salt).c_str(), "near-wide");
  }
}

// Checked to fail with the salt out of the seed.
Test(informed_choice, equals_are_asked_in_turns) {
  InformedWorld world;
  for (int i = 0; i < 4; ++i) {
    world.Hear(HostAt("host-" + std::to_string(i), "d", "r", 10), 9);
  }
  std::set<std::string> asked;
  for (std::uint64_t salt = 0; salt < 100; ++salt) {
    asked.insert(world.Choose(salt));
  }
  cr_assert_eq(asked.size(), 4U);
}

Test(informed_choice, leaving_and_silent_hosts_are_not_asked) {
  InformedWorld world;
  HostInfo leaving = HostAt("leaving", "d", "r", 10);
  leaving.leaving = true;
  world.Hear(leaving, 9);
  cr_assert_str_eq(world.Choose().c_str(), "");
  world.Hear(HostAt("heard", "d", "r", 10), 9);
  cr_assert_str_eq(world.Choose().c_str(), "heard");
  const Time later = kStart + kSilence + Duration(1);
  cr_assert_str_eq(world.Choose(0, later).c_str(), "");
}

}  // namespace
}  // namespace pathcleat
