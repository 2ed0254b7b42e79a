// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/up_to_date_host.hpp"

#include <set>

#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(1'000'000)};
constexpr Duration kHeartbeatTimeout{2'500'000};

HostInfo MakeHost(const std::string& name,
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

struct HostChoiceFixture {
  void OnHeartbeat(const HostInfo& host, std::uint64_t orders) {
    HostVersions versions;
    versions.orders = orders;
    table.OnHeartbeat(host, versions, kStart);
  }

  std::string Choose(std::uint64_t salt = 0, Time now = kStart) const {
    const HostEntry* host = ChooseUpToDateHost(
        table, [](const HostVersions& v) { return v.orders > 7; }, salt, now);
    return host == nullptr ? "" : host->info.name;
  }

  HostTable table{MakeHost("self", "d", "r", 10), kHeartbeatTimeout};
};

// When the first host that reported newer data was asked, a whole domain
// fetched from one host of another region with a narrow link. Fails without the
// distance in the rank, and without the link capacity in the rank.
Test(up_to_date_host, near_host_with_a_wide_link_is_asked) {
  HostChoiceFixture fixture;
  fixture.OnHeartbeat(MakeHost("far-wide", "e", "s", 1'000), 9);
  cr_assert_str_eq(fixture.Choose().c_str(), "far-wide");
  fixture.OnHeartbeat(MakeHost("near-thin", "d", "r", 10), 9);
  cr_assert_str_eq(fixture.Choose().c_str(), "near-thin");
  fixture.OnHeartbeat(MakeHost("near-wide", "d", "r", 200), 9);
  fixture.OnHeartbeat(MakeHost("near-wider-but-behind", "d", "r", 400), 7);
  for (std::uint64_t salt = 0; salt < 20; ++salt) {
    cr_assert_str_eq(fixture.Choose(salt).c_str(), "near-wide");
  }
}

// Guards against requests that all go to the same host, even if it does not
// answer. Fails without the salt in the seed.
Test(up_to_date_host, equal_hosts_are_asked_in_turn) {
  HostChoiceFixture fixture;
  for (int i = 0; i < 4; ++i) {
    fixture.OnHeartbeat(MakeHost("host-" + std::to_string(i), "d", "r", 10), 9);
  }
  std::set<std::string> chosen;
  for (std::uint64_t salt = 0; salt < 100; ++salt) {
    chosen.insert(fixture.Choose(salt));
  }
  cr_assert_eq(chosen.size(), 4U);
}

Test(up_to_date_host, leaving_and_silent_hosts_are_not_asked) {
  HostChoiceFixture fixture;
  HostInfo leaving = MakeHost("leaving", "d", "r", 10);
  leaving.leaving = true;
  fixture.OnHeartbeat(leaving, 9);
  cr_assert_str_eq(fixture.Choose().c_str(), "");
  fixture.OnHeartbeat(MakeHost("heard", "d", "r", 10), 9);
  cr_assert_str_eq(fixture.Choose().c_str(), "heard");
  const Time later = kStart + kHeartbeatTimeout + Duration(1);
  cr_assert_str_eq(fixture.Choose(0, later).c_str(), "");
}

}  // namespace
}  // namespace pathcleat
