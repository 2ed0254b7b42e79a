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
inline constexpr Duration kRound{500'000};
// Hosts' rounds do not begin at one moment.
inline constexpr int kPhases = 5;
inline constexpr Duration kPhase = kRound / kPhases;

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

struct Node {
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
    for (Node& node : nodes) {
      ListAll(node);
    }
  }

  Node& Start(const HostInfo& info) {
    Node node;
    node.info = info;
    node.table = std::make_unique<HostTable>(info, kSilence);
    node.reporter = std::make_unique<DomainReporter>(*node.table, now);
    node.plan = std::make_unique<HeartbeatPlan>(*node.table);
    node.phase = static_cast<int>(nodes.size()) % kPhases;
    places.emplace(info.peer_address, nodes.size());
    nodes.push_back(std::move(node));
    return nodes.back();
  }

  // A host reads all rows of the store when it starts.
  void ListAll(Node& node) {
    for (const Node& other : nodes) {
      node.table->OnListed(other.info, now);
    }
  }

  Node* Find(const std::string& address) {
    const auto [first, last] = places.equal_range(address);
    for (auto place = first; place != last; ++place) {
      if (nodes[place->second].runs) {
        return &nodes[place->second];
      }
    }
    return nullptr;
  }

  void Take(Node& node, const DomainReport& report) {
    ++node.received;
    for (const HostInfo& host : report.introduced) {
      node.table->OnIntroduced(host, now);
    }
    for (const MemberGroup& group : report.groups) {
      for (const MemberSign& member : group.members) {
        node.table->OnReported(member, group.versions, now);
      }
    }
  }

  // To all, as after a start.
  void Greet(const Node& from) {
    for (Node& node : nodes) {
      if (node.runs && node.info.domain == from.info.domain && !lost()) {
        node.table->OnHeard(from.info, {}, now);
        ++node.received;
      }
    }
  }

  void Beat(const Node& from) {
    for (const std::string& address : from.plan->Receivers(now)) {
      Node* node = Find(address);
      if (node != nullptr && !lost()) {
        node->table->OnHeard(from.info, {}, now);
        ++node->received;
      }
    }
  }

  void TellOwnDomain(Node& from, const std::vector<DomainReport>& reports) {
    from.plan->OnOwnDomainTold(now);
    for (const std::string& address : from.plan->Told(now)) {
      Node* node = Find(address);
      if (node == nullptr || lost()) {
        continue;
      }
      node->plan->OnOwnDomainTold(now);
      for (const DomainReport& report : reports) {
        Take(*node, report);
      }
    }
  }

  void Report(Node& from) {
    const auto reports = from.reporter->Reports({}, now);
    TellOwnDomain(from, reports);
    for (const std::string& address : from.reporter->Receivers(now)) {
      between_domains += reports.size();
      Node* receiver = Find(address);
      if (receiver == nullptr || lost()) {
        continue;
      }
      for (Node& node : nodes) {
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
    for (Node& node : nodes) {
      if (node.runs && node.phase == steps % kPhases) {
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

  int Alive(const Node& node) const { return node.table->Alive(now); }

  int Running() const {
    int count = 0;
    for (const Node& node : nodes) {
      count += node.runs ? 1 : 0;
    }
    return count;
  }

  // What all hosts together take of a limit of 1 that they share.
  double SharesTaken() const {
    double sum = 0;
    for (const Node& node : nodes) {
      sum += node.runs ? 1.0 / node.table->Sharers(now) : 0;
    }
    return sum;
  }

  std::vector<Node> nodes;
  std::multimap<std::string, std::size_t> places;  ///< by address
  Time now = kStart;
  int steps = 0;
  std::size_t between_domains = 0;  ///< datagrams
  std::function<bool()> lost = [] { return false; };
};

}  // namespace pathcleat
