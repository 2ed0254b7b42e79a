// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/host_table.hpp"

#include <algorithm>
#include <utility>

namespace pathcleat {
namespace {

// A region with fewer hosts that reach the upstreams also lists its isolated
// hosts: a caller that has the address of a single host cannot reach the fleet
// once that host fails.
constexpr std::size_t kMinConnectedHosts = 2;
// A host shares limits for this long after its last heartbeat, or after a store
// row listed it. The window is 1.5 s longer than the heartbeat timeout: if half
// of all hosts die at once, reports on the living hosts are late by one or two
// rounds. Without the extra time, other hosts would use the share of a living
// host that timed out here, while that host still uses it. Hosts that start at
// the same moment have exchanged their records within 3 s.
constexpr Duration kLimitShareWindow{4'000'000};

// Far longer than the time between two calls of CheckForStall, even on a
// machine with a tenth of a core, and shorter than the time after which a host
// counts as dead.
constexpr Duration kStallThreshold{1'000'000};

}  // namespace

HostTable::HostTable(HostInfo self, Duration heartbeat_timeout)
    : self_(std::move(self)), heartbeat_timeout_(heartbeat_timeout) {}

void HostTable::CheckForStall(Time now) {
  const Time last = std::exchange(last_check_, now);
  const Duration stall = now - last;
  if (last == Time() || stall < kStallThreshold) {
    return;
  }
  stall_end_ = now;
  stall_duration_ = stall;
  unreported_stall_ = stall;
}

// Time since a host was last seen, without the time for which this host was
// stalled. Reports to other hosts contain the time with the stall, as this host
// does not have the information which hosts died during its stall.
Duration HostTable::TimeSinceSeen(const HostEntry& host, Time now) const {
  const Duration silence = now - host.last_seen;
  return host.last_seen < stall_end_ ? silence - stall_duration_ : silence;
}

void HostTable::Store(const HostEntry& host) {
  HostEntry& kept = others_[host.info.name];
  if (!kept.info.name.empty()) {
    names_by_incarnation_.erase(IncarnationId(kept.info));
  }
  names_by_incarnation_[IncarnationId(host.info)] = host.info.name;
  kept = host;
}

void HostTable::OnStoreRow(const HostInfo& host, Time now) {
  if (host.name == self_.name) {
    return;
  }
  const auto found = others_.find(host.name);
  if (found == others_.end() ||
      found->second.info.incarnation < host.incarnation) {
    Store({host, now, now, false, false, {}});
  }
}

bool HostTable::OnHeartbeat(const HostInfo& host,
                            const HostVersions& versions,
                            Time now) {
  if (host.name == self_.name) {
    return false;
  }
  const auto found = others_.find(host.name);
  const bool was_alive = found != others_.end() && IsAlive(found->second, now);
  // Incarnation numbers are taken from the time of day, which may have been set
  // back. So once an incarnation has timed out, any other incarnation replaces
  // the old one, even an incarnation with a lower number.
  if (was_alive && host.incarnation < found->second.info.incarnation) {
    return false;
  }
  const bool same =
      was_alive && host.incarnation == found->second.info.incarnation;
  Store({host, now, same ? found->second.alive_since : now, true, true,
         versions});
  return !was_alive;
}

void HostTable::OnInfoReported(const HostInfo& host, Time now) {
  const auto found = others_.find(host.name);
  if (found != others_.end() && !IsAlive(found->second, now) &&
      found->second.info.incarnation > host.incarnation) {
    Store({host, now, now, false, found->second.alive_at_last_check, {}});
    return;
  }
  // A report that passed through a host of an older version lacks capacities,
  // so a record may arrive first without and later with one.
  if (found != others_.end() && !found->second.info.capacity.IsStated() &&
      found->second.info.incarnation == host.incarnation) {
    found->second.info.capacity = host.capacity;
  }
  OnStoreRow(host, now);
}

const HostEntry* HostTable::OnMemberReported(const MemberObservation& member,
                                             const HostVersions& versions,
                                             Time now) {
  const auto name = names_by_incarnation_.find(member.id);
  if (name == names_by_incarnation_.end()) {
    return nullptr;
  }
  HostEntry& host = others_.at(name->second);
  const Time last_heartbeat = now - std::chrono::milliseconds(member.age_ms);
  const bool was_alive = IsAlive(host, now);
  // The last recorded heartbeat of the host is at least as new: it came from
  // the host itself or in a report that arrived earlier.
  if (host.has_heartbeat && last_heartbeat <= host.last_seen) {
    return nullptr;
  }
  host.alive_since = was_alive ? host.alive_since : now;
  host.last_seen = last_heartbeat;
  host.has_heartbeat = true;
  host.info.leaving = member.leaving;
  host.info.isolated = member.isolated;
  host.info.load_step = member.load_step;
  host.info.utilization = 0;  // unknown: reports carry the load step only
  host.versions = versions;
  const bool is_back = !was_alive && IsAlive(host, now);
  host.alive_at_last_check = host.alive_at_last_check || is_back;
  return is_back ? &host : nullptr;
}

bool HostTable::SharesLimits(const HostEntry& host, Time now) const {
  return TimeSinceSeen(host, now) <= kLimitShareWindow;
}

bool HostTable::IsAlive(const HostEntry& host, Time now) const {
  return host.has_heartbeat && TimeSinceSeen(host, now) <= heartbeat_timeout_;
}

std::vector<std::string> HostTable::TakeTimedOutHosts(Time now) {
  std::vector<std::string> newly_silent;
  for (auto& [name, host] : others_) {
    if (host.alive_at_last_check && !IsAlive(host, now)) {
      host.alive_at_last_check = false;
      newly_silent.push_back(name);
    }
  }
  return newly_silent;
}

bool HostTable::IsLeaving(const std::string& name) const {
  const auto host = others_.find(name);
  return host != others_.end() && host->second.info.leaving;
}

std::vector<const HostEntry*> HostTable::Others() const {
  std::vector<const HostEntry*> others;
  for (const auto& [name, host] : others_) {
    others.push_back(&host);
  }
  return others;
}

int HostTable::LimitSharerCountIn(const std::string& region, Time now) const {
  int count = self_.region == region ? 1 : 0;
  for (const auto& [name, host] : others_) {
    count += host.info.region == region && SharesLimits(host, now) ? 1 : 0;
  }
  return std::max(1, count);
}

std::map<std::string, int> HostTable::LimitSharerCountsByRegion(
    Time now) const {
  std::map<std::string, int> sharers{{self_.region, 1}};
  for (const auto& [name, host] : others_) {
    if (SharesLimits(host, now)) {
      ++sharers[host.info.region];
    }
  }
  return sharers;
}

int HostTable::LimitSharerCount(Time now) const {
  int count = 1;
  for (const auto& [name, host] : others_) {
    count += SharesLimits(host, now) ? 1 : 0;
  }
  return count;
}

int HostTable::AliveCount(Time now) const {
  int count = 1;
  for (const auto& [name, host] : others_) {
    count += IsAlive(host, now) ? 1 : 0;
  }
  return count;
}

bool HostTable::HasUnlikeHosts() const {
  return std::any_of(others_.begin(), others_.end(), [this](const auto& other) {
    const HostInfo& info = other.second.info;
    return info.capacity.cpu_cores != self_.capacity.cpu_cores ||
           info.capacity.max_descriptors != self_.capacity.max_descriptors ||
           info.link_mbps != self_.link_mbps;
  });
}

bool HostTable::OtherHasConfig(std::uint64_t version, Time now) const {
  return std::any_of(others_.begin(), others_.end(),
                     [this, version, now](const auto& other) {
                       const HostEntry& host = other.second;
                       return !host.info.leaving && IsAlive(host, now) &&
                              host.versions.config >= version;
                     });
}

std::vector<const HostInfo*> HostTable::HostsAcceptingCallers(Time now) const {
  std::vector<const HostInfo*> accepting;
  if (!self_.leaving) {
    accepting.push_back(&self_);
  }
  for (const auto& [name, host] : others_) {
    if (!host.info.leaving && IsAlive(host, now)) {
      accepting.push_back(&host.info);
    }
  }
  RemoveIsolated(accepting);
  return accepting;
}

// Keeps the isolated hosts of a region that has too few others: callers may be
// bound to their region, and an isolated host still serves them by forwarding.
void HostTable::RemoveIsolated(std::vector<const HostInfo*>& hosts) {
  const auto is_isolated = [](const HostInfo* host) { return host->isolated; };
  if (std::none_of(hosts.begin(), hosts.end(), is_isolated)) {
    return;
  }
  std::map<std::string, std::size_t> connected_counts;  // by region
  for (const HostInfo* host : hosts) {
    connected_counts[host->region] += host->isolated ? 0 : 1;
  }
  std::erase_if(hosts, [&connected_counts](const HostInfo* host) {
    return host->isolated &&
           connected_counts.at(host->region) >= kMinConnectedHosts;
  });
}

}  // namespace pathcleat
