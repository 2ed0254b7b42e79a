// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/relay_choice.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pathcleat/fleet/host_rank.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

const Time kStart{Duration(1'000'000)};
constexpr Duration kHeartbeatTimeout{2'500'000};

HostInfo MakeHost(int domain, int index) {
  HostInfo host;
  host.name = "host-" + std::to_string(domain) + "-" + std::to_string(index);
  host.incarnation = 1;
  host.domain = "domain-" + std::to_string(domain);
  host.region = "region-" + std::to_string(domain / 2);
  host.peer_address = host.name;
  return host;
}

// A fleet with a host table for each host; SendHeartbeatsToAll fills them.
struct RelayFleet {
  RelayFleet(int domain_count, int per_domain) : domains(domain_count) {
    for (int d = 0; d < domain_count; ++d) {
      for (int i = 0; i < per_domain; ++i) {
        infos.push_back(MakeHost(d, i));
      }
    }
    RebuildTables();
    access.assign(infos.size(), StoreAccess::kFollowingPeer);
  }

  void RebuildTables() {
    tables.clear();
    for (const HostInfo& info : infos) {
      tables.push_back(std::make_unique<HostTable>(info, kHeartbeatTimeout));
    }
  }

  void SendHeartbeatsToAll(const std::set<std::size_t>& dead = {}) {
    for (const auto& table : tables) {
      for (std::size_t i = 0; i < infos.size(); ++i) {
        HostVersions versions;
        versions.store_access = access[i];
        if (!dead.contains(i)) {
          table->OnHeartbeat(infos[i], versions, kStart);
        }
      }
    }
  }

  RelayChoice ChooseRelayFor(std::size_t host,
                             bool store_failed = false) const {
    return ChooseRelay(*tables[host], {domains, store_failed, {}}, kStart);
  }

  int domains;
  std::vector<HostInfo> infos;
  std::vector<std::unique_ptr<HostTable>> tables;
  std::vector<StoreAccess> access;
};

// Guards against store calls that grow with the number of hosts: with each of
// 80 hosts watching the store, its calls cost 0.16 to 0.50 of a day's worth.
Test(relay_choice, few_hosts_of_a_large_fleet_watch_the_store) {
  RelayFleet fleet(9, 9);
  fleet.SendHeartbeatsToAll();
  int watching = 0;
  for (std::size_t i = 0; i < fleet.infos.size(); ++i) {
    if (ChooseRelay(*fleet.tables[i], {9, false, {}}, kStart).kind ==
        RelayKind::kStore) {
      fleet.access[i] = StoreAccess::kWatching;
    }
  }
  fleet.SendHeartbeatsToAll();
  for (std::size_t i = 0; i < fleet.infos.size(); ++i) {
    watching += fleet.ChooseRelayFor(i).kind == RelayKind::kStore ? 1 : 0;
  }
  cr_assert_eq(watching, 9);
}

// When all hosts watched the store at first, hosts then followed each other in
// cycles, so that every change reached them late.
Test(relay_choice, no_host_follows_a_host_that_will_itself_follow) {
  RelayFleet fleet(6, 14);
  fleet.access.assign(fleet.infos.size(), StoreAccess::kWatching);
  fleet.SendHeartbeatsToAll();
  std::set<std::string> followed;
  std::set<std::string> watching;
  for (std::size_t i = 0; i < fleet.infos.size(); ++i) {
    const RelayChoice choice = fleet.ChooseRelayFor(i);
    if (choice.kind == RelayKind::kPeer) {
      followed.insert(choice.peer_address);
    } else {
      watching.insert(fleet.infos[i].peer_address);
    }
  }
  cr_assert_eq(watching.size(), 12U);
  for (const std::string& relay : followed) {
    cr_assert(watching.contains(relay));
  }
}

// When hosts were ranked by hash alone, all relays of a fleet had links of
// 10 Mbit/s although other hosts had links of 200 Mbit/s. Fails without the
// comparison of link capacities in RanksAhead.
Test(relay_choice, hosts_with_the_widest_links_watch_for_their_domain) {
  RelayFleet fleet(4, 8);
  constexpr std::size_t kPerDomain = 8;
  const auto is_wide = [](std::size_t host) { return host % kPerDomain < 2; };
  for (std::size_t i = 0; i < fleet.infos.size(); ++i) {
    fleet.infos[i].link_mbps = is_wide(i) ? 200 : 10;
  }
  fleet.RebuildTables();
  fleet.access.assign(fleet.infos.size(), StoreAccess::kWatching);
  fleet.SendHeartbeatsToAll();
  for (std::size_t i = 0; i < fleet.infos.size(); ++i) {
    const bool watches = fleet.ChooseRelayFor(i).kind == RelayKind::kStore;
    cr_assert_eq(watches, is_wide(i), "host %zu", i);
    fleet.access[i] =
        watches ? StoreAccess::kWatching : StoreAccess::kFollowingPeer;
  }
  fleet.SendHeartbeatsToAll();
  for (std::size_t i = 0; i < fleet.infos.size(); ++i) {
    const RelayChoice choice = fleet.ChooseRelayFor(i);
    cr_assert(is_wide(i) || choice.kind == RelayKind::kPeer);
  }
}

// Guards against small hosts that relay for larger ones behind equal links.
// Fails without the comparison of cores in RanksAhead.
Test(relay_choice, of_equal_links_hosts_with_more_cores_watch) {
  RelayFleet fleet(4, 8);
  constexpr std::size_t kPerDomain = 8;
  const auto is_large = [](std::size_t host) { return host % kPerDomain > 5; };
  for (std::size_t i = 0; i < fleet.infos.size(); ++i) {
    fleet.infos[i].link_mbps = 10;
    fleet.infos[i].capacity.cpu_cores = is_large(i) ? 0.5 : 0.1;
  }
  fleet.RebuildTables();
  fleet.access.assign(fleet.infos.size(), StoreAccess::kWatching);
  fleet.SendHeartbeatsToAll();
  for (std::size_t i = 0; i < fleet.infos.size(); ++i) {
    const bool watches = fleet.ChooseRelayFor(i).kind == RelayKind::kStore;
    cr_assert_eq(watches, is_large(i), "host %zu", i);
  }
}

Test(relay_choice, every_host_of_a_small_fleet_watches_the_store) {
  RelayFleet fleet(4, 2);
  fleet.access.assign(fleet.infos.size(), StoreAccess::kWatching);
  fleet.SendHeartbeatsToAll();
  for (std::size_t i = 0; i < fleet.infos.size(); ++i) {
    cr_assert(fleet.ChooseRelayFor(i).kind == RelayKind::kStore);
  }
}

Test(relay_choice, each_domain_keeps_a_watcher_if_hosts_die_or_fail) {
  cr_assert(Holds("every domain with living hosts has a watcher", [] {
    RelayFleet fleet(8, *rc::gen::inRange(1, 8));
    std::set<std::size_t> dead;
    std::vector<bool> failed(fleet.infos.size());
    for (std::size_t i = 0; i < fleet.infos.size(); ++i) {
      if (*rc::gen::inRange(0, 3) == 0) {
        dead.insert(i);
      } else if (*rc::gen::inRange(0, 3) == 0) {
        failed[i] = true;
        fleet.access[i] = StoreAccess::kFailing;
      }
    }
    // Choices are stable after two rounds: watchers report their store access,
    // then the other hosts follow them.
    for (int round = 0; round < 2; ++round) {
      fleet.SendHeartbeatsToAll(dead);
      for (std::size_t i = 0; i < fleet.infos.size(); ++i) {
        if (!failed[i] && fleet.ChooseRelayFor(i).kind == RelayKind::kStore) {
          fleet.access[i] = StoreAccess::kWatching;
        }
      }
    }
    fleet.SendHeartbeatsToAll(dead);
    for (std::size_t i = 0; i < fleet.infos.size(); ++i) {
      if (dead.contains(i)) {
        continue;
      }
      const RelayChoice choice = fleet.ChooseRelayFor(i, failed[i]);
      RC_ASSERT(choice.kind == RelayKind::kPeer ||
                fleet.access[i] == StoreAccess::kWatching || failed[i]);
      if (choice.kind == RelayKind::kPeer) {
        const auto relay = std::find_if(
            fleet.infos.begin(), fleet.infos.end(), [&](const HostInfo& host) {
              return host.peer_address == choice.peer_address;
            });
        const std::size_t relay_index = relay - fleet.infos.begin();
        RC_ASSERT(!dead.contains(relay_index) &&
                  fleet.access[relay_index] == StoreAccess::kWatching);
        RC_ASSERT(failed[i] || relay->domain == fleet.infos[i].domain);
      }
    }
  }));
}

Test(relay_choice, host_without_store_access_follows_another_region) {
  RelayFleet fleet(2, 1);
  fleet.access = {StoreAccess::kFailing, StoreAccess::kWatching};
  fleet.SendHeartbeatsToAll();
  const RelayChoice choice = fleet.ChooseRelayFor(0, true);
  cr_assert(choice.kind == RelayKind::kPeer);
  cr_assert_str_eq(choice.peer_address.c_str(), "host-1-0");
  const RelayCriteria criteria{2, true, {"host-1-0"}};
  cr_assert(ChooseRelay(*fleet.tables[0], criteria, kStart).kind ==
            RelayKind::kStore);
}

Test(relay_choice, while_the_store_is_down_few_hosts_keep_calling_it) {
  RelayFleet fleet(8, 10);
  fleet.access.assign(fleet.infos.size(), StoreAccess::kFailing);
  fleet.SendHeartbeatsToAll();
  int calling = 0;
  for (std::size_t i = 0; i < fleet.infos.size(); ++i) {
    calling += fleet.ChooseRelayFor(i, true).kind == RelayKind::kStore ? 1 : 0;
  }
  cr_assert_eq(calling, 8);
}

Test(relay_choice, leaving_and_silent_hosts_are_not_followed) {
  RelayFleet fleet(8, 2);
  fleet.access.assign(fleet.infos.size(), StoreAccess::kWatching);
  for (HostInfo& info : fleet.infos) {
    info.leaving = true;
  }
  fleet.SendHeartbeatsToAll();
  cr_assert(fleet.ChooseRelayFor(0).kind == RelayKind::kStore);
  cr_assert(ChooseRelay(*fleet.tables[0], {8, true, {}},
                        kStart + kHeartbeatTimeout + Duration(1))
                .kind == RelayKind::kStore);
}

// Number of hosts that read a whole table from the store if all start at the
// same moment and each has the rows of all others.
int ReadersAtStart(int domains, int per_domain, Duration waited) {
  RelayFleet fleet(domains, per_domain);
  for (const auto& table : fleet.tables) {
    for (const HostInfo& info : fleet.infos) {
      table->OnStoreRow(info, kStart);
    }
  }
  int readers = 0;
  for (const auto& table : fleet.tables) {
    readers += ShouldReadStore(*table, {domains, waited}, kStart) ? 1 : 0;
  }
  return readers;
}

// Guards against reads at a start that grow with the number of hosts: with each
// of 986 hosts reading 10,002 upstreams, a start took 3 GB from the store, 0.4
// of a day's worth. Fails with ShouldReadStore always true.
Test(relay_choice, readers_of_the_store_do_not_grow_with_the_hosts) {
  cr_assert_eq(ReadersAtStart(9, 11, Duration(0)), 9);
  cr_assert_eq(ReadersAtStart(9, 111, Duration(0)), 9);
  cr_assert_eq(ReadersAtStart(1, 9, Duration(0)), 8);
}

// If the highest-ranked hosts have died, others read the store, but never all
// at the same moment.
Test(relay_choice, others_read_the_store_in_turn_if_the_first_do_not) {
  cr_assert_eq(ReadersAtStart(9, 111, Duration(1'000'000)), 9 * 9);
  cr_assert_eq(ReadersAtStart(9, 111, Duration(2'000'000)), 9 * 17);
  cr_assert_eq(ReadersAtStart(1, 9, Duration(1'000'000)), 9);
}

// Guards against all followers of a large fleet that call the store at once
// when the hosts that they follow get no answer: 2,300 hosts would exceed the
// store's limit on calls.
Test(relay_choice, followers_of_failing_hosts_wait_for_the_next_in_rank) {
  RelayFleet fleet(9, 9);
  fleet.SendHeartbeatsToAll();
  for (std::size_t i = 0; i < fleet.infos.size(); ++i) {
    const bool watches =
        CountHigherRanked(*fleet.tables[i], fleet.infos[i],
                          [](const HostEntry&) { return true; }) == 0;
    fleet.access[i] =
        watches ? StoreAccess::kFailing : StoreAccess::kFollowingPeer;
  }
  fleet.SendHeartbeatsToAll();
  std::map<std::string, int> callers;
  for (std::size_t i = 0; i < fleet.infos.size(); ++i) {
    const bool fails = fleet.access[i] == StoreAccess::kFailing;
    const RelayKind kind = fleet.ChooseRelayFor(i, fails).kind;
    cr_assert_neq(kind, RelayKind::kPeer);
    callers[fleet.infos[i].domain] += kind == RelayKind::kStore ? 1 : 0;
  }
  for (const auto& [domain, count] : callers) {
    cr_assert_eq(count, 2, "the failing host and the next: %s", domain.c_str());
  }
}

}  // namespace
}  // namespace pathcleat
