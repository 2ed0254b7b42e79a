// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pathcleat/fleet/domain_reporter.hpp"
#include "pathcleat/fleet/heartbeat_plan.hpp"

namespace pathcleat {

inline const Time kStart{Duration(60'000'000)};
inline constexpr Duration kHeartbeatTimeout{2'500'000};
inline constexpr Duration kHeartbeatInterval{500'000};
// Hosts send heartbeats at different phases of the interval, not all at once.
inline constexpr int kPhasesPerInterval = 5;
inline constexpr Duration kPhaseLength =
    kHeartbeatInterval / kPhasesPerInterval;

inline HostInfo MakeHostInfo(int domain,
                             int index,
                             std::uint64_t incarnation = 1) {
  HostInfo host;
  host.name = "host-" + std::to_string(domain) + "-" + std::to_string(index);
  host.incarnation = incarnation;
  host.domain = "domain-" + std::to_string(domain);
  host.region = "region-" + std::to_string(domain / 3);
  host.peer_address = host.name;
  host.link_mbps = index < 3 ? 200 : 20;
  return host;
}

struct HeartbeatNode {
  HostInfo info;
  std::unique_ptr<HostTable> table;
  std::unique_ptr<DomainReporter> reporter;
  std::unique_ptr<HeartbeatPlan> plan;
  int received = 0;  ///< number of datagrams
  bool is_running = true;
  int phase = 0;
};

// Simulated hosts that exchange heartbeats and reports as PeerLink does. The
// test controls the time and which datagrams are lost.
struct HeartbeatFleet {
  HeartbeatFleet(int domains, int per_domain) {
    for (int d = 0; d < domains; ++d) {
      for (int i = 0; i < per_domain; ++i) {
        Start(MakeHostInfo(d, i));
      }
    }
    for (HeartbeatNode& node : nodes) {
      ListAllHosts(node);
    }
  }

  HeartbeatNode& Start(const HostInfo& info) {
    HeartbeatNode node;
    node.info = info;
    node.table = std::make_unique<HostTable>(info, kHeartbeatTimeout);
    node.reporter = std::make_unique<DomainReporter>(*node.table, now);
    node.plan = std::make_unique<HeartbeatPlan>(*node.table);
    node.phase = static_cast<int>(nodes.size()) % kPhasesPerInterval;
    node_index_by_address.emplace(info.peer_address, nodes.size());
    nodes.push_back(std::move(node));
    return nodes.back();
  }

  // Adds all hosts to the node's table, as a host does when it starts and reads
  // all rows of the store.
  void ListAllHosts(HeartbeatNode& node) {
    for (const HeartbeatNode& other : nodes) {
      node.table->OnStoreRow(other.info, now);
    }
  }

  HeartbeatNode* Find(const std::string& address) {
    const auto [first, last] = node_index_by_address.equal_range(address);
    for (auto entry = first; entry != last; ++entry) {
      if (nodes[entry->second].is_running) {
        return &nodes[entry->second];
      }
    }
    return nullptr;
  }

  void Receive(HeartbeatNode& node, const DomainReport& report) {
    ++node.received;
    for (const HostInfo& host : report.host_infos) {
      node.table->OnInfoReported(host, now);
    }
    for (const MemberGroup& group : report.groups) {
      for (const MemberObservation& member : group.members) {
        node.table->OnMemberReported(member, group.versions, now);
      }
    }
  }

  // Sends a heartbeat to every running host of the same domain, as a host does
  // after its start.
  void AnnounceStart(const HeartbeatNode& from) {
    for (HeartbeatNode& node : nodes) {
      if (node.is_running && node.info.domain == from.info.domain &&
          !is_lost()) {
        node.table->OnHeartbeat(from.info, {}, now);
        ++node.received;
      }
    }
  }

  void SendHeartbeats(const HeartbeatNode& from) {
    for (const std::string& address : from.plan->Receivers(now)) {
      HeartbeatNode* node = Find(address);
      if (node != nullptr && !is_lost()) {
        node->table->OnHeartbeat(from.info, {}, now);
        ++node->received;
      }
    }
  }

  void ReportToOwnDomain(HeartbeatNode& from,
                         const std::vector<DomainReport>& reports) {
    from.plan->OnOwnDomainReport(now);
    for (const std::string& address : from.plan->OwnReportReceivers(now)) {
      HeartbeatNode* node = Find(address);
      if (node == nullptr || is_lost()) {
        continue;
      }
      node->plan->OnOwnDomainReport(now);
      for (const DomainReport& report : reports) {
        Receive(*node, report);
      }
    }
  }

  void SendReports(HeartbeatNode& from) {
    const auto reports = from.reporter->MakeReports({}, now);
    ReportToOwnDomain(from, reports);
    for (const std::string& address : from.reporter->Receivers(now)) {
      reports_between_domains += reports.size();
      HeartbeatNode* receiver = Find(address);
      if (receiver == nullptr || is_lost()) {
        continue;
      }
      for (HeartbeatNode& node : nodes) {
        const bool in_receiver_domain =
            node.info.domain == receiver->info.domain;
        const bool is_receiver = &node == receiver;
        if (node.is_running && in_receiver_domain &&
            (is_receiver || !is_lost())) {
          for (const DomainReport& report : reports) {
            Receive(node, report);
          }
        }
      }
    }
  }

  void Step() {
    now += kPhaseLength;
    ++steps;
    for (HeartbeatNode& node : nodes) {
      if (node.is_running && node.phase == steps % kPhasesPerInterval) {
        SendHeartbeats(node);
        if (node.reporter->IsReporter(now)) {
          SendReports(node);
        }
      }
    }
  }

  void Run(
      Duration time,
      const std::function<void()>& check = [] {}) {
    for (const Time end = now + time; now < end;) {
      Step();
      check();
    }
  }

  int AliveCount(const HeartbeatNode& node) const {
    return node.table->AliveCount(now);
  }

  int RunningCount() const {
    int count = 0;
    for (const HeartbeatNode& node : nodes) {
      count += node.is_running ? 1 : 0;
    }
    return count;
  }

  // Sum, over all running hosts, of the share of a shared limit that the host
  // uses. The sum is 1 if the hosts use exactly the limit.
  double TotalShare() const {
    double sum = 0;
    for (const HeartbeatNode& node : nodes) {
      sum += node.is_running ? 1.0 / node.table->LimitSharerCount(now) : 0;
    }
    return sum;
  }

  std::vector<HeartbeatNode> nodes;
  std::multimap<std::string, std::size_t>
      node_index_by_address;  ///< a restarted host keeps its address
  Time now = kStart;
  int steps = 0;
  std::size_t reports_between_domains = 0;  ///< number of datagrams
  std::function<bool()> is_lost = [] { return false; };
};

}  // namespace pathcleat
