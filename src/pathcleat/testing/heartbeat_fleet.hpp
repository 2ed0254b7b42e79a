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
inline constexpr Duration kSilence{2'500'000};
inline constexpr Duration kHeartbeatInterval{500'000};
// Hosts' rounds do not begin at one moment.
inline constexpr int kPhasesPerInterval = 5;
inline constexpr Duration kPhase = kHeartbeatInterval / kPhasesPerInterval;

inline HostInfo HostAt(int domain, int index, std::uint64_t incarnation = 1) {
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
  int received = 0;  ///< datagrams
  bool runs = true;
  int phase = 0;
};

// Hosts that exchange heartbeats and reports as PeerLink does, with time and
// losses in the test's hands.
struct Fleet {
  Fleet(int domains, int per_domain) {
    for (int d = 0; d < domains; ++d) {
      for (int i = 0; i < per_domain; ++i) {
        Start(HostAt(d, i));
      }
    }
    for (HeartbeatNode& node : nodes) {
      ListAllHosts(node);
    }
  }

  HeartbeatNode& Start(const HostInfo& info) {
    HeartbeatNode node;
    node.info = info;
    node.table = std::make_unique<HostTable>(info, kSilence);
    node.reporter = std::make_unique<DomainReporter>(*node.table, now);
    node.plan = std::make_unique<HeartbeatPlan>(*node.table);
    node.phase = static_cast<int>(nodes.size()) % kPhasesPerInterval;
    places.emplace(info.peer_address, nodes.size());
    nodes.push_back(std::move(node));
    return nodes.back();
  }

  // A host reads all rows of the store when it starts.
  void ListAllHosts(HeartbeatNode& node) {
    for (const HeartbeatNode& other : nodes) {
      node.table->OnStoreRow(other.info, now);
    }
  }

  HeartbeatNode* Find(const std::string& address) {
    const auto [first, last] = places.equal_range(address);
    for (auto place = first; place != last; ++place) {
      if (nodes[place->second].runs) {
        return &nodes[place->second];
      }
    }
    return nullptr;
  }

  void Take(HeartbeatNode& node, const DomainReport& report) {
    ++node.received;
    for (const HostInfo& host : report.introduced) {
      node.table->OnInfoReported(host, now);
    }
    for (const MemberGroup& group : report.groups) {
      for (const MemberObservation& member : group.members) {
        node.table->OnMemberReported(member, group.versions, now);
      }
    }
  }

  // To all, as after a start.
  void Greet(const HeartbeatNode& from) {
    for (HeartbeatNode& node : nodes) {
      if (node.runs && node.info.domain == from.info.domain && !lost()) {
        node.table->OnHeard(from.info, {}, now);
        ++node.received;
      }
    }
  }

  void Beat(const HeartbeatNode& from) {
    for (const std::string& address : from.plan->Receivers(now)) {
      HeartbeatNode* node = Find(address);
      if (node != nullptr && !lost()) {
        node->table->OnHeard(from.info, {}, now);
        ++node->received;
      }
    }
  }

  void ReportToOwnDomain(HeartbeatNode& from,
                         const std::vector<DomainReport>& reports) {
    from.plan->OnOwnDomainReport(now);
    for (const std::string& address : from.plan->Told(now)) {
      HeartbeatNode* node = Find(address);
      if (node == nullptr || lost()) {
        continue;
      }
      node->plan->OnOwnDomainReport(now);
      for (const DomainReport& report : reports) {
        Take(*node, report);
      }
    }
  }

  void Report(HeartbeatNode& from) {
    const auto reports = from.reporter->MakeReports({}, now);
    ReportToOwnDomain(from, reports);
    for (const std::string& address : from.reporter->Receivers(now)) {
      between_domains += reports.size();
      HeartbeatNode* receiver = Find(address);
      if (receiver == nullptr || lost()) {
        continue;
      }
      for (HeartbeatNode& node : nodes) {
        const bool near = node.info.domain == receiver->info.domain;
        const bool itself = &node == receiver;
        if (node.runs && near && (itself || !lost())) {
          for (const DomainReport& report : reports) {
            Take(node, report);
          }
        }
      }
    }
  }

  void Step() {
    now += kPhase;
    ++steps;
    for (HeartbeatNode& node : nodes) {
      if (node.runs && node.phase == steps % kPhasesPerInterval) {
        Beat(node);
        if (node.reporter->IsReporter(now)) {
          Report(node);
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
      count += node.runs ? 1 : 0;
    }
    return count;
  }

  // What all hosts together take of a limit of 1 that they share.
  double TotalShare() const {
    double sum = 0;
    for (const HeartbeatNode& node : nodes) {
      sum += node.runs ? 1.0 / node.table->LimitSharerCount(now) : 0;
    }
    return sum;
  }

  std::vector<HeartbeatNode> nodes;
  std::multimap<std::string, std::size_t> places;  ///< by address
  Time now = kStart;
  int steps = 0;
  std::size_t between_domains = 0;  ///< datagrams
  std::function<bool()> lost = [] { return false; };
};

}  // namespace pathcleat
