// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/domain_reporter.hpp"

#include "heartbeat_fleet.hpp"

#include "pathcleat/core/hash.hpp"
#include "property.hpp"

namespace pathcleat {
namespace {

// Guards against hosts that have only their own domain in the table. Fails
// with reports between domains switched off.
Test(domain_reporter, all_hosts_are_alive_everywhere_a_second_after_start) {
  HeartbeatFleet fleet(9, 12);
  fleet.Run(Duration(1'100'000));
  for (const HeartbeatNode& node : fleet.nodes) {
    cr_assert_eq(fleet.AliveCount(node), 108);
  }
}

// Both reporters of a domain die at the same moment: the living hosts of the
// domain must not time out in other domains before other hosts report. Fails
// with kReporterTimeout at 2.5 s.
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

Test(domain_reporter, dead_host_times_out_everywhere_at_the_same_time) {
  HeartbeatFleet fleet(4, 6);
  fleet.Run(Duration(2'000'000));
  fleet.nodes[8].is_running = false;
  fleet.Run(kHeartbeatTimeout + kPhaseLength);
  for (const HeartbeatNode& node : fleet.nodes) {
    cr_assert(!node.is_running ||
              fleet.AliveCount(node) == fleet.RunningCount());
  }
}

// One datagram in twenty is lost. Guards against living hosts that time out
// in other domains. Fails with one reporter per domain.
Test(domain_reporter, lost_datagrams_hide_no_living_host) {
  cr_assert(Holds(
      "living hosts are never silent",
      [] {
        HeartbeatFleet fleet(3, 6);
        std::uint64_t hash_input =
            *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
        fleet.is_lost = [&hash_input] {
          return MixHashes(++hash_input, 7) % 20 == 0;
        };
        fleet.Run(Duration(3'000'000));
        fleet.Run(Duration(10'000'000), [&] {
          for (const HeartbeatNode& node : fleet.nodes) {
            RC_ASSERT(fleet.AliveCount(node) == fleet.RunningCount());
          }
        });
      },
      20));
}

// Guards against reported members that are ignored for lack of a host record.
// Fails with host records in reports switched off.
Test(domain_reporter, records_of_new_host_and_new_incarnation_are_sent) {
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

// A host reads at its start only the rows that other hosts have written before.
// When 295 hosts started at the same moment, half of them still had records of
// only 113 to 170 other hosts 10 s later and used too large shares of limits.
// Fails with the records of the same three new hosts sent in each round.
Test(domain_reporter, hosts_that_start_together_are_alive_to_each_other_soon) {
  constexpr int kDomains = 4;
  constexpr int kHosts = 33;
  HeartbeatFleet fleet(0, 0);
  for (int i = 0; i < kHosts; ++i) {
    for (int d = 0; d < kDomains; ++d) {
      HeartbeatNode& node = fleet.Start(MakeHostInfo(d, i));
      fleet.ListAllHosts(node);
    }
  }
  // Each host announces its start to the hosts in its table, which reply.
  for (HeartbeatNode& node : fleet.nodes) {
    fleet.AnnounceStart(node);
  }
  fleet.Run(Duration(2'500'000));
  for (const HeartbeatNode& node : fleet.nodes) {
    cr_assert_eq(fleet.AliveCount(node), kDomains * kHosts);
  }
}

// After a partition between domains, all their hosts count as dead to each
// other, and reports must be sent to them nevertheless. Fails with Receivers
// limited to hosts that are alive.
Test(domain_reporter, domains_exchange_reports_again_after_a_partition) {
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

// Each host computes its share of a limit from its own host table: the sum of
// all shares must not exceed the limit while all hosts start or some die. Fails
// with store rows left out of HostTable::SharesLimits: at a start each host
// then takes the share of a far smaller fleet.
Test(domain_reporter, sum_of_shares_never_exceeds_the_limit) {
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

// Guards against traffic between domains that grows with the number of hosts.
// Fails with Receivers returning all hosts of a domain.
Test(domain_reporter, traffic_between_domains_grows_with_domains_only) {
  const auto count_reports = [](int domains, int per_domain) {
    HeartbeatFleet fleet(domains, per_domain);
    // Run until no host is new, as records of new hosts need extra datagrams.
    fleet.Run(Duration(4'000'000));
    fleet.reports_between_domains = 0;
    fleet.Run(Duration(2'000'000));
    return fleet.reports_between_domains;
  };
  const std::size_t small = count_reports(4, 4);
  cr_assert_eq(count_reports(4, 16), small);
  // Four domains, each with two reporters that send one datagram to each of
  // three other domains per round: four rounds in 2 s.
  cr_assert_eq(small, 4U * 3 * 2 * 4);
}

Test(domain_reporter, hosts_with_equal_versions_are_one_group) {
  HostTable table(MakeHostInfo(0, 0), kHeartbeatTimeout);
  HostVersions early;
  early.config = 4;
  early.config_age_ms = 900;
  HostVersions late = early;
  late.config_age_ms = 100;
  HostVersions other;
  other.config = 3;
  DomainReporter reporter(table, kStart);
  // Two heartbeats 2 s apart, so that no host is new at the end.
  const Time last_heartbeat = kStart + 2 * Duration(2'000'000);
  for (Time at = kStart; at <= last_heartbeat; at += Duration(2'000'000)) {
    table.OnHeartbeat(MakeHostInfo(0, 1), early, at);
    table.OnHeartbeat(MakeHostInfo(0, 2), late, at);
    table.OnHeartbeat(MakeHostInfo(0, 3), other, at);
  }
  const auto reports = reporter.MakeReports(
      late, last_heartbeat + std::chrono::milliseconds(50));
  cr_assert_eq(reports.size(), 1U);
  cr_assert_eq(reports.front().groups.size(), 2U);
  const MemberGroup& group = reports.front().groups.front();
  cr_assert_eq(group.members.size(), 3U);
  // The group has the largest configuration age of its members, computed for
  // the time of the report.
  cr_assert_eq(group.versions.config_age_ms, 950U);
}

Test(domain_report, reports_of_a_large_domain_fit_datagrams) {
  constexpr std::size_t kMaxDatagramBytes = 1'472;
  HostTable table(MakeHostInfo(0, 0), kHeartbeatTimeout);
  for (int i = 1; i < 120; ++i) {
    table.OnHeartbeat(MakeHostInfo(0, i), {}, kStart);
  }
  DomainReporter reporter(table, kStart);
  std::size_t members = 0;
  for (const DomainReport& report : reporter.MakeReports({}, kStart)) {
    cr_assert_lt(EncodeDomainReport(report).size(), kMaxDatagramBytes);
    for (const MemberGroup& group : report.groups) {
      members += group.members.size();
    }
  }
  cr_assert_eq(members, 120U);
}

// Guards against reports in several datagrams where all hosts state their
// capacity and have load steps.
Test(domain_report, reports_with_load_steps_and_capacities_fit_datagrams) {
  constexpr std::size_t kMaxDatagramBytes = 1'472;
  for (const int hosts : {14, 52, 120, 250}) {
    const auto make_host = [](int index) {
      HostInfo host = MakeHostInfo(0, index);
      host.capacity = {0.1, 4'100};
      host.load_step = 3;
      return host;
    };
    HostTable table(make_host(0), kHeartbeatTimeout);
    for (int i = 1; i < hosts; ++i) {
      table.OnHeartbeat(make_host(i), {}, kStart);
    }
    DomainReporter reporter(table, kStart);
    for (const DomainReport& report : reporter.MakeReports({}, kStart)) {
      cr_assert_lt(EncodeDomainReport(report).size(), kMaxDatagramBytes);
    }
  }
}

Test(domain_report, any_bytes_are_decoded_or_rejected) {
  cr_assert(Holds("decoding arbitrary bytes never crashes", [] {
    const auto bytes =
        *rc::gen::container<std::string>(rc::gen::inRange<char>(-128, 127));
    DecodeDomainReport(bytes);
  }));
}

}  // namespace
}  // namespace pathcleat
