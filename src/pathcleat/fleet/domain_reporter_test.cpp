// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/domain_reporter.hpp"

#include "heartbeat_fleet.hpp"

#include "pathcleat/core/hash.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

// Checked to fail with the reports off: each host then knows its domain alone.
Test(domain_reporter, all_hosts_are_known_a_second_after_the_start) {
  HeartbeatFleet fleet(9, 12);
  fleet.Run(Duration(1'100'000));
  for (const HeartbeatNode& node : fleet.nodes) {
    cr_assert_eq(fleet.AliveCount(node), 108);
  }
}

// Both hosts that report for a domain die at one moment. Checked to fail with
// kReporterSilence at 2.5 s: the domain's living hosts were silent elsewhere.
Test(domain_reporter, loss_of_the_reporters_hides_no_living_host) {
  cr_assert(Holds(
      "living hosts are never silent",
      [] {
        HeartbeatFleet fleet(4, 6);
        fleet.Run(Duration(2'000'000));
        const int domain = *rc::gen::inRange(0, 4);
        const int phases = *rc::gen::inRange(0, kPhasesPerInterval);
        fleet.Run(kPhaseLength * phases);
        int killed = 0;
        for (HeartbeatNode& node : fleet.nodes) {
          const bool reports =
              node.info.domain == "domain-" + std::to_string(domain) &&
              node.reporter->IsReporter(fleet.now);
          node.is_running = !reports;
          killed += reports ? 1 : 0;
        }
        RC_ASSERT(killed == 2);
        fleet.Run(Duration(6'000'000), [&] {
          for (const HeartbeatNode& node : fleet.nodes) {
            RC_ASSERT(!node.is_running ||
                      fleet.AliveCount(node) >= fleet.RunningCount());
          }
        });
      },
      40));
}

Test(domain_reporter, dead_host_is_silent_everywhere_in_the_same_time) {
  HeartbeatFleet fleet(4, 6);
  fleet.Run(Duration(2'000'000));
  fleet.nodes[8].is_running = false;
  fleet.Run(kHeartbeatTimeout + kPhaseLength);
  for (const HeartbeatNode& node : fleet.nodes) {
    cr_assert(!node.is_running ||
              fleet.AliveCount(node) == fleet.RunningCount());
  }
}

// One datagram in twenty is lost. Checked to fail with one reporter a domain.
Test(domain_reporter, lost_datagrams_hide_no_living_host) {
  cr_assert(Holds(
      "living hosts are never silent",
      [] {
        HeartbeatFleet fleet(3, 6);
        std::uint64_t draws = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        fleet.is_lost = [&draws] { return MixHashes(++draws, 7) % 20 == 0; };
        fleet.Run(Duration(3'000'000));
        fleet.Run(Duration(10'000'000), [&] {
          for (const HeartbeatNode& node : fleet.nodes) {
            RC_ASSERT(fleet.AliveCount(node) == fleet.RunningCount());
          }
        });
      },
      20));
}

// Checked to fail with introductions off.
Test(domain_reporter, new_host_and_new_incarnation_are_introduced) {
  HeartbeatFleet fleet(4, 6);
  fleet.Run(Duration(2'000'000));
  fleet.nodes[3].is_running = false;
  fleet.ListAllHosts(fleet.Start(MakeHostInfo(0, 3, 2)));
  fleet.ListAllHosts(fleet.Start(MakeHostInfo(2, 7)));
  fleet.Run(Duration(1'600'000));
  for (const HeartbeatNode& node : fleet.nodes) {
    cr_assert(!node.is_running || fleet.AliveCount(node) == 25);
  }
}

// Hosts that start at one moment: each has read the rows of those alone that
// wrote theirs before. Half of 295 hosts knew 113 to 170 others ten seconds
// after the start, and took their limits' shares by that. Seen to fail with
// the same three new hosts introduced in each round.
Test(domain_reporter, hosts_that_start_at_one_moment_know_each_other_soon) {
  constexpr int kDomains = 4;
  constexpr int kHosts = 33;
  HeartbeatFleet fleet(0, 0);
  for (int i = 0; i < kHosts; ++i) {
    for (int d = 0; d < kDomains; ++d) {
      HeartbeatNode& node = fleet.Start(MakeHostInfo(d, i));
      fleet.ListAllHosts(node);
    }
  }
  // Those that are listed are greeted, and answer.
  for (HeartbeatNode& node : fleet.nodes) {
    fleet.AnnounceStart(node);
  }
  fleet.Run(Duration(2'500'000));
  for (const HeartbeatNode& node : fleet.nodes) {
    cr_assert_eq(fleet.AliveCount(node), kDomains * kHosts);
  }
}

// Domains that were cut off from each other. Checked to fail with Receivers
// limited to hosts that are alive.
Test(domain_reporter, domains_find_each_other_after_a_cut) {
  HeartbeatFleet fleet(3, 4);
  fleet.Run(Duration(2'000'000));
  std::vector<HeartbeatNode> away;
  for (HeartbeatNode& node : fleet.nodes) {
    node.is_running = node.info.domain == "domain-0";
  }
  fleet.Run(Duration(5'000'000));
  cr_assert_eq(fleet.AliveCount(fleet.nodes[0]), 4);
  for (HeartbeatNode& node : fleet.nodes) {
    node.is_running = true;
  }
  fleet.Run(Duration(1'600'000));
  for (const HeartbeatNode& node : fleet.nodes) {
    cr_assert_eq(fleet.AliveCount(node), 12);
  }
}

// Limits are shared by what each host knows: at a start of all, and while
// hosts die, the parts that they take together never exceed the whole.
// Checked to fail with rows left out of HostTable::Shares: at a start each
// host then takes the share of a far smaller fleet.
Test(domain_reporter, shares_taken_never_exceed_the_whole) {
  cr_assert(Holds(
      "the sum of all shares is one at most",
      [] {
        HeartbeatFleet fleet(4, 6);
        const auto check = [&fleet] {
          RC_ASSERT(fleet.TotalShare() <= 1.0001);
        };
        check();
        fleet.Run(Duration(6'000'000), check);
        for (HeartbeatNode& node : fleet.nodes) {
          node.is_running = *rc::gen::inRange(0, 2) == 0;
        }
        fleet.Run(Duration(6'000'000), check);
      },
      30));
}

// Checked to fail with Receivers naming all hosts of a domain.
Test(domain_reporter, talk_between_domains_grows_with_the_domains_alone) {
  const auto talk = [](int domains, int per_domain) {
    HeartbeatFleet fleet(domains, per_domain);
    // Until nobody is new: introductions take datagrams of their own.
    fleet.Run(Duration(4'000'000));
    fleet.reports_between_domains = 0;
    fleet.Run(Duration(2'000'000));
    return fleet.reports_between_domains;
  };
  const std::size_t small = talk(4, 4);
  cr_assert_eq(talk(4, 16), small);
  // Two reporters a domain, two rounds a second, one datagram a domain.
  cr_assert_eq(small, 4U * 3 * 2 * 4);
}

Test(domain_reporter, hosts_that_have_come_equally_far_are_one_group) {
  HostTable table(MakeHostInfo(0, 0), kHeartbeatTimeout);
  HostVersions early;
  early.config = 4;
  early.config_age_ms = 900;
  HostVersions late = early;
  late.config_age_ms = 100;
  HostVersions other;
  other.config = 3;
  DomainReporter reporter(table, kStart);
  // Two seconds apart, so that nobody is new at the end.
  const Time heard = kStart + 2 * Duration(2'000'000);
  for (Time at = kStart; at <= heard; at += Duration(2'000'000)) {
    table.OnHeartbeat(MakeHostInfo(0, 1), early, at);
    table.OnHeartbeat(MakeHostInfo(0, 2), late, at);
    table.OnHeartbeat(MakeHostInfo(0, 3), other, at);
  }
  const auto reports =
      reporter.MakeReports(late, heard + std::chrono::milliseconds(50));
  cr_assert_eq(reports.size(), 1U);
  cr_assert_eq(reports.front().groups.size(), 2U);
  const MemberGroup& group = reports.front().groups.front();
  cr_assert_eq(group.members.size(), 3U);
  // Who has had it longest says how long others are behind.
  cr_assert_eq(group.versions.config_age_ms, 950U);
}

Test(domain_report, large_domain_is_told_in_datagrams_that_fit) {
  constexpr std::size_t kPacket = 1'472;
  HostTable table(MakeHostInfo(0, 0), kHeartbeatTimeout);
  for (int i = 1; i < 120; ++i) {
    table.OnHeartbeat(MakeHostInfo(0, i), {}, kStart);
  }
  DomainReporter reporter(table, kStart);
  std::size_t members = 0;
  for (const DomainReport& report : reporter.MakeReports({}, kStart)) {
    cr_assert_lt(EncodeDomainReport(report).size(), kPacket);
    for (const MemberGroup& group : report.groups) {
      members += group.members.size();
    }
  }
  cr_assert_eq(members, 120U);
}

Test(domain_report, any_bytes_are_read_or_refused) {
  cr_assert(Holds("no bytes do harm", [] {
    const auto bytes =
        *rc::gen::container<std::string>(rc::gen::inRange<char>(-128, 127));
    DecodeDomainReport(bytes);
  }));
}

}  // namespace
}  // namespace pathcleat
