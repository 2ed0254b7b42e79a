// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/host_table.hpp"

#include <algorithm>
#include <utility>

namespace pathcleat {
namespace {

// A caller that knows one host alone loses it with that host.
constexpr std::size_t kFewestHosts = 2;

}  // namespace

HostTable::HostTable(HostInfo self, Duration silence)
    : self_(std::move(self)), silence_(silence) {}

void HostTable::OnListed(const HostInfo& host, Time now) {
  if (host.name == self_.name) {
    return;
  }
  auto [known, added] = others_.try_emplace(host.name);
  if (added || known->second.info.incarnation < host.incarnation) {
    known->second = {host, now, false, false, {}};
  }
}

bool HostTable::OnHeard(const HostInfo& host,
                        const HostVersions& versions,
                        Time now) {
  if (host.name == self_.name) {
    return false;
  }
  auto [known, added] = others_.try_emplace(host.name);
  const bool was_alive = !added && IsAlive(known->second, now);
  // Incarnations follow the time of day, which may have been set back: one
  // that has fallen silent is believed to be gone, whatever its number.
  if (was_alive && host.incarnation < known->second.info.incarnation) {
    return false;
  }
  known->second = {host, now, true, true, versions};
  return !was_alive;
}

bool HostTable::IsAlive(const KnownHost& host, Time now) const {
  return host.ever_heard && now - host.heard <= silence_;
}

std::vector<std::string> HostTable::NewlySilent(Time now) {
  std::vector<std::string> silent;
  for (auto& [name, host] : others_) {
    if (host.reported_alive && !IsAlive(host, now)) {
      host.reported_alive = false;
      silent.push_back(name);
    }
  }
  return silent;
}

std::vector<const KnownHost*> HostTable::Others() const {
  std::vector<const KnownHost*> others;
  for (const auto& [name, host] : others_) {
    others.push_back(&host);
  }
  return others;
}

int HostTable::AliveIn(const std::string& region, Time now) const {
  int count = self_.region == region ? 1 : 0;
  for (const auto& [name, host] : others_) {
    count += host.info.region == region && IsAlive(host, now) ? 1 : 0;
  }
  return std::max(1, count);
}

std::map<std::string, int> HostTable::AliveByRegion(Time now) const {
  std::map<std::string, int> alive{{self_.region, 1}};
  for (const auto& [name, host] : others_) {
    if (IsAlive(host, now)) {
      ++alive[host.info.region];
    }
  }
  return alive;
}

int HostTable::Alive(Time now) const {
  int count = 1;
  for (const auto& [name, host] : others_) {
    count += IsAlive(host, now) ? 1 : 0;
  }
  return count;
}

bool HostTable::OtherHasConfig(std::uint64_t version, Time now) const {
  return std::any_of(others_.begin(), others_.end(),
                     [this, version, now](const auto& other) {
                       const KnownHost& host = other.second;
                       return !host.info.leaving && IsAlive(host, now) &&
                              host.versions.config >= version;
                     });
}

std::vector<HostInfo> HostTable::Serving(Time now) const {
  std::vector<HostInfo> serving;
  if (!self_.leaving) {
    serving.push_back(self_);
  }
  for (const auto& [name, host] : others_) {
    if (!host.info.leaving && IsAlive(host, now)) {
      serving.push_back(host.info);
    }
  }
  return serving;
}

std::vector<std::string> HostTable::Locate(const std::string& region,
                                           const std::string& domain,
                                           std::size_t most,
                                           Time now) const {
  std::vector<HostInfo> serving = Serving(now);
  const auto distance = [&](const HostInfo& host) {
    if (host.domain == domain) {
      return 0;
    }
    return host.region == region ? 1 : 2;
  };
  std::stable_sort(serving.begin(), serving.end(),
                   [&](const HostInfo& a, const HostInfo& b) {
                     return distance(a) < distance(b);
                   });
  std::vector<std::string> addresses;
  int farthest = 0;
  for (const HostInfo& host : serving) {
    const bool enough = addresses.size() >= kFewestHosts;
    if (addresses.size() == most || (enough && distance(host) > farthest)) {
      break;
    }
    farthest = std::max(farthest, distance(host));
    addresses.push_back(host.caller_address);
  }
  return addresses;
}

}  // namespace pathcleat
