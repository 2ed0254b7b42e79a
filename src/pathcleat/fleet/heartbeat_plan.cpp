// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/heartbeat_plan.hpp"

#include <algorithm>

#include "pathcleat/fleet/host_rank.hpp"

namespace pathcleat {
namespace {

// Up to here heartbeats go to all: 78 datagrams a second each way, and news of
// a host is half a second younger than by way of a report.
constexpr std::size_t kMostDirect = 40;
// Two report; two more know as much the moment that both are gone.
constexpr std::size_t kReceivers = 4;
// A round of reports and a half. What other domains hear of a host whose
// reporters have died is then 2.4 s old at most (a heartbeat, this, a round of
// heartbeats and one of reports), and it is silent to them after 2.5 s.
constexpr Duration kReportSilence{700'000};

std::vector<std::string> AddressesOf(
    const std::vector<const KnownHost*>& hosts) {
  std::vector<std::string> addresses;
  addresses.reserve(hosts.size());
  for (const KnownHost* host : hosts) {
    addresses.push_back(host->info.peer_address);
  }
  return addresses;
}

}  // namespace

std::vector<const KnownHost*> HeartbeatPlan::Domain() const {
  std::vector<const KnownHost*> domain = hosts_.Others();
  std::erase_if(domain, [this](const KnownHost* host) {
    return host->info.domain != hosts_.self().domain;
  });
  return domain;
}

bool HeartbeatPlan::IsLarge(Time now) const {
  const auto domain = Domain();
  const auto living = std::count_if(
      domain.begin(), domain.end(),
      [&](const KnownHost* host) { return hosts_.SharesLimits(*host, now); });
  return static_cast<std::size_t>(living) >= kMostDirect;
}

std::vector<std::string> HeartbeatPlan::Receivers(Time now) const {
  std::vector<const KnownHost*> receivers = Domain();
  if (IsLarge(now) && now - told_ <= kReportSilence) {
    std::erase_if(receivers, [&](const KnownHost* host) {
      return host->info.leaving || !hosts_.IsAlive(*host, now);
    });
    std::sort(receivers.begin(), receivers.end(),
              [](const KnownHost* a, const KnownHost* b) {
                return RanksAhead(a->info, b->info);
              });
    receivers.resize(std::min(receivers.size(), kReceivers));
  }
  return AddressesOf(receivers);
}

std::vector<std::string> HeartbeatPlan::OwnReportReceivers(Time now) const {
  return IsLarge(now) ? AliveInDomain(now) : std::vector<std::string>();
}

std::vector<std::string> HeartbeatPlan::AllInDomain() const {
  return AddressesOf(Domain());
}

std::vector<std::string> HeartbeatPlan::AliveInDomain(Time now) const {
  std::vector<const KnownHost*> living = Domain();
  std::erase_if(living, [&](const KnownHost* host) {
    return !hosts_.IsAlive(*host, now);
  });
  return AddressesOf(living);
}

}  // namespace pathcleat
