// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/host/locate.hpp"

#include <QHostAddress>
#include <algorithm>
#include <nlohmann/json.hpp>

#include "pathcleat/core/hash.hpp"

namespace pathcleat {
namespace {

constexpr std::size_t kMostHosts = 4;

std::uint32_t AddressOf(const std::string& caller) {
  return QHostAddress(QString::fromStdString(caller)).toIPv4Address();
}

// Latency from a caller's region to a failure domain.
Duration LatencyFrom(const Deployment& deployment,
                     RegionIndex region,
                     DomainIndex domain) {
  return deployment.RegionOf(domain) == region
             ? Duration::zero()
             : deployment.latency_between_regions;
}

std::vector<SeatIndex> UsableSeats(const Shared& shared) {
  const Time now = BootClock::now();
  std::vector<SeatIndex> seats = shared.members.Candidates(now);
  for (const DomainState& state : shared.members.Domains()) {
    // A domain unheard for long is left out: its hosts may be gone.
    const Duration oldest = shared.settings.deployment.timing.peer_silence * 4;
    if (now - state.observed > oldest) {
      continue;
    }
    const auto& contacts = state.summary.contacts;
    seats.insert(seats.end(), contacts.begin(), contacts.end());
  }
  return seats;
}

}  // namespace

std::vector<LocatedHost> Locate(const Shared& shared,
                                const std::string& caller) {
  const Deployment& deployment = shared.settings.deployment;
  const RegionIndex region =
      shared.config.RegionOf(AddressOf(caller))
          .value_or(deployment.RegionOf(shared.settings.seat));
  std::vector<LocatedHost> hosts;
  for (const SeatIndex seat : UsableSeats(shared)) {
    const DomainIndex domain = deployment.At(seat).domain;
    hosts.push_back({seat, LatencyFrom(deployment, region, domain)});
  }
  // Among equally near hosts each caller has an order of its own.
  const auto order = [&deployment, &caller](const LocatedHost& host) {
    return StableHash(deployment.At(host.seat).name, StableHash(caller));
  };
  std::sort(hosts.begin(), hosts.end(),
            [&order](const LocatedHost& a, const LocatedHost& b) {
              return a.latency != b.latency ? a.latency < b.latency
                                            : order(a) < order(b);
            });
  if (hosts.size() > kMostHosts) {
    hosts.resize(kMostHosts);
  }
  return hosts;
}

std::string LocateJson(const Shared& shared, const std::string& caller) {
  const Deployment& deployment = shared.settings.deployment;
  nlohmann::ordered_json hosts = nlohmann::ordered_json::array();
  for (const LocatedHost& host : Locate(shared, caller)) {
    const Seat& seat = deployment.At(host.seat);
    hosts.push_back({{"host", seat.name},
                     {"address", seat.address},
                     {"port", seat.caller_port}});
  }
  const auto ttl = std::chrono::duration_cast<std::chrono::milliseconds>(
      deployment.timing.locate_ttl);
  const nlohmann::ordered_json answer = {{"ttl_ms", ttl.count()},
                                         {"hosts", hosts}};
  return answer.dump();
}

}  // namespace pathcleat
