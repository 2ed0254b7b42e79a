// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/heartbeat_plan.hpp"

#include <algorithm>

#include "pathcleat/fleet/host_rank.hpp"

namespace pathcleat {
namespace {

// In a domain with fewer other hosts than this, heartbeats go to all of them:
// at most 78 datagrams per second each way, and the state of a host arrives
// half a second earlier than by a report.
constexpr std::size_t kLargeDomainThreshold = 40;
// The receivers are the two reporters and two substitutes, which have the same
// data if both reporters are lost.
constexpr std::size_t kReceiverCount = 4;
// One and a half rounds of reports. If all reporters of a domain die, the last
// heartbeat of a living host that was reported to other domains is at most
// 2.4 s old when the next report arrives (one heartbeat interval, this timeout,
// one round of heartbeats and one of reports). Hosts time out after 2.5 s.
constexpr Duration kReportTimeout{700'000};

std::vector<std::string> AddressesOf(
    const std::vector<const HostEntry*>& hosts) {
  std::vector<std::string> addresses;
  addresses.reserve(hosts.size());
  for (const HostEntry* host : hosts) {
    addresses.push_back(host->info.peer_address);
  }
  return addresses;
}

}  // namespace

std::vector<const HostEntry*> HeartbeatPlan::OtherHostsInDomain() const {
  std::vector<const HostEntry*> domain = hosts_.Others();
  std::erase_if(domain, [this](const HostEntry* host) {
    return host->info.domain != hosts_.self().domain;
  });
  return domain;
}

bool HeartbeatPlan::IsLarge(Time now) const {
  const auto domain = OtherHostsInDomain();
  const auto alive = std::count_if(
      domain.begin(), domain.end(),
      [&](const HostEntry* host) { return hosts_.SharesLimits(*host, now); });
  return static_cast<std::size_t>(alive) >= kLargeDomainThreshold;
}

std::vector<std::string> HeartbeatPlan::Receivers(Time now) const {
  std::vector<const HostEntry*> receivers = OtherHostsInDomain();
  if (IsLarge(now) && now - own_domain_report_at_ <= kReportTimeout) {
    std::erase_if(receivers, [&](const HostEntry* host) {
      return host->info.leaving || !hosts_.IsAlive(*host, now);
    });
    std::sort(receivers.begin(), receivers.end(),
              [](const HostEntry* a, const HostEntry* b) {
                return RanksAhead(a->info, b->info);
              });
    receivers.resize(std::min(receivers.size(), kReceiverCount));
  }
  return AddressesOf(receivers);
}

std::vector<std::string> HeartbeatPlan::OwnReportReceivers(Time now) const {
  return IsLarge(now) ? AliveInDomain(now) : std::vector<std::string>();
}

std::vector<std::string> HeartbeatPlan::AllInDomain() const {
  return AddressesOf(OtherHostsInDomain());
}

std::vector<std::string> HeartbeatPlan::AliveInDomain(Time now) const {
  std::vector<const HostEntry*> alive = OtherHostsInDomain();
  std::erase_if(alive, [&](const HostEntry* host) {
    return !hosts_.IsAlive(*host, now);
  });
  return AddressesOf(alive);
}

}  // namespace pathcleat
