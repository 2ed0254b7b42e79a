// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/host_table.hpp"

#include <algorithm>
#include <utility>

namespace pathcleat {
namespace {

// A caller that knows one host alone loses it with that host.
constexpr std::size_t kFewestHosts = 2;
// A host counts where limits are shared for so long after it was heard, or
// named by a row. That is 1.5 s more than until it is silent: where half of all
// hosts die at once, reports of the others come late by a round or two, and a
// host taken for dead too early gives its share away while it uses it. Hosts
// that start at one moment have introduced each other within 3 s.
constexpr Duration kShareTime{4'000'000};

// Far beyond the time between two calls of OnAwake, also on a machine with a
// tenth of a core; below the silence after which a host counts as dead.
constexpr Duration kStandstill{1'000'000};

}  // namespace

HostTable::HostTable(HostInfo self, Duration silence)
    : self_(std::move(self)), silence_(silence) {}

void HostTable::CheckForStall(Time now) {
  const Time last = std::exchange(awake_, now);
  const Duration still = now - last;
  if (last == Time() || still < kStandstill) {
    return;
  }
  still_until_ = now;
  still_for_ = still;
  untold_still_ = still;
}

// What others are told keeps the true age: this host knows nothing of who died
// while it stood still.
Duration HostTable::SilenceOf(const KnownHost& host, Time now) const {
  const Duration silence = now - host.last_seen;
  return host.last_seen < still_until_ ? silence - still_for_ : silence;
}

void HostTable::Keep(const KnownHost& host) {
  KnownHost& kept = others_[host.info.name];
  if (!kept.info.name.empty()) {
    names_.erase(IncarnationId(kept.info));
  }
  names_[IncarnationId(host.info)] = host.info.name;
  kept = host;
}

void HostTable::OnStoreRow(const HostInfo& host, Time now) {
  if (host.name == self_.name) {
    return;
  }
  const auto known = others_.find(host.name);
  if (known == others_.end() ||
      known->second.info.incarnation < host.incarnation) {
    Keep({host, now, now, false, false, {}});
  }
}

bool HostTable::OnHeartbeat(const HostInfo& host,
                            const HostVersions& versions,
                            Time now) {
  if (host.name == self_.name) {
    return false;
  }
  const auto known = others_.find(host.name);
  const bool was_alive = known != others_.end() && IsAlive(known->second, now);
  // Incarnations follow the time of day, which may have been set back: one
  // that has fallen silent is believed to be gone, whatever its number.
  if (was_alive && host.incarnation < known->second.info.incarnation) {
    return false;
  }
  const bool same =
      was_alive && host.incarnation == known->second.info.incarnation;
  Keep({host, now, same ? known->second.alive_since : now, true, true,
        versions});
  return !was_alive;
}

void HostTable::OnInfoReported(const HostInfo& host, Time now) {
  const auto known = others_.find(host.name);
  if (known != others_.end() && !IsAlive(known->second, now) &&
      known->second.info.incarnation > host.incarnation) {
    Keep({host, now, now, false, known->second.alive_at_last_check, {}});
    return;
  }
  OnStoreRow(host, now);
}

const KnownHost* HostTable::OnMemberReported(const MemberObservation& member,
                                             const HostVersions& versions,
                                             Time now) {
  const auto name = names_.find(member.id);
  if (name == names_.end()) {
    return nullptr;
  }
  KnownHost& host = others_.at(name->second);
  const Time heard = now - std::chrono::milliseconds(member.age_ms);
  const bool was_alive = IsAlive(host, now);
  // What was heard of the host itself, or by a shorter way, is newer.
  if (host.has_heartbeat && heard <= host.last_seen) {
    return nullptr;
  }
  host.alive_since = was_alive ? host.alive_since : now;
  host.last_seen = heard;
  host.has_heartbeat = true;
  host.info.leaving = member.leaving;
  host.versions = versions;
  const bool is_back = !was_alive && IsAlive(host, now);
  host.alive_at_last_check = host.alive_at_last_check || is_back;
  return is_back ? &host : nullptr;
}

bool HostTable::SharesLimits(const KnownHost& host, Time now) const {
  return SilenceOf(host, now) <= kShareTime;
}

bool HostTable::IsAlive(const KnownHost& host, Time now) const {
  return host.has_heartbeat && SilenceOf(host, now) <= silence_;
}

std::vector<std::string> HostTable::NewlySilent(Time now) {
  std::vector<std::string> silent;
  for (auto& [name, host] : others_) {
    if (host.alive_at_last_check && !IsAlive(host, now)) {
      host.alive_at_last_check = false;
      silent.push_back(name);
    }
  }
  return silent;
}

bool HostTable::IsLeaving(const std::string& name) const {
  const auto host = others_.find(name);
  return host != others_.end() && host->second.info.leaving;
}

std::vector<const KnownHost*> HostTable::Others() const {
  std::vector<const KnownHost*> others;
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
