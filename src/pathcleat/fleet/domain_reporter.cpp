// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/domain_reporter.hpp"

#include <algorithm>
#include <map>
#include <tuple>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/fleet/host_rank.hpp"

namespace pathcleat {
namespace {

constexpr int kReporters = 2;
// A reporter that missed two heartbeats (0.5 s apart) is stood in for: other
// domains hear of this one again before its hosts count as silent there, 2.5 s
// after they were heard last.
constexpr Duration kReporterSilence{1'100'000};
// So many hosts fit a datagram of 1,472 bytes, at 10 bytes each, with three
// groups of 45; more groups are rare, and cost a second packet.
constexpr std::size_t kMostMembers = 125;
// With so many hosts at most there is room for three introductions of 150
// bytes.
constexpr std::size_t kMembersBeside = 52;
constexpr std::size_t kIntroducedBeside = 3;
// In a datagram without members.
constexpr std::size_t kIntroducedAlone = 6;
// In one round. A domain of 33 hosts that start at one moment, each of which
// has read the rows of few others, is introduced in two rounds of a reporter;
// 295 hosts that started so knew each other within 3 s.
constexpr std::size_t kMostIntroduced = 21;
// A new host is introduced for this long, so that a lost datagram or two do
// not hide it.
constexpr Duration kNewFor{3'000'000};
// Beside new ones one host is introduced every so many rounds, by turns, to
// those who have missed it: a domain of 33 hosts once in 66 s by each reporter.
constexpr std::uint64_t kIntroductionRounds = 4;

// What two hosts must share to be named in one group.
using GroupKey = std::tuple<std::uint64_t,
                            std::uint64_t,
                            std::uint64_t,
                            std::uint64_t,
                            StoreAccess>;

GroupKey KeyOf(const HostVersions& versions) {
  return {versions.config, versions.commands, versions.orders,
          versions.upstreams, versions.store_access};
}

std::uint32_t Milliseconds(Duration duration) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

// Puts hosts into reports and, there, into groups.
class ReportPacker {
 public:
  explicit ReportPacker(DomainReport head) : head_(std::move(head)) {}

  void Add(const MemberObservation& member, const HostVersions& versions) {
    if (reports_.empty() || named_ == kMostMembers) {
      Begin();
    }
    ++named_;
    const auto [place, added] =
        groups_.try_emplace(KeyOf(versions), reports_.back().groups.size());
    if (added) {
      reports_.back().groups.push_back({versions, {}});
    }
    MemberGroup& group = reports_.back().groups[place->second];
    group.versions.config_age_ms =
        std::max(group.versions.config_age_ms, versions.config_age_ms);
    group.members.push_back(member);
  }

  std::vector<DomainReport> Take() { return std::move(reports_); }

 private:
  void Begin() {
    reports_.push_back(head_);
    groups_.clear();
    named_ = 0;
  }

  DomainReport head_;
  std::vector<DomainReport> reports_;
  std::map<GroupKey, std::size_t> groups_;  ///< places in the last report
  std::size_t named_ = 0;                   ///< hosts in the last report
};

}  // namespace

bool DomainReporter::IsReporter(Time now) const {
  const auto heard_of_late = [now](const KnownHost& host) {
    return host.has_heartbeat && now - host.last_seen <= kReporterSilence;
  };
  return CountHigherRanked(hosts_, hosts_.self(), heard_of_late) < kReporters;
}

// New hosts, and now and then another one, both by turns.
std::vector<HostInfo> DomainReporter::Introduced(Time now) {
  std::vector<HostInfo> fresh;
  std::vector<HostInfo> known;
  const auto place = [&](const HostInfo& host, Time since) {
    (now - since <= kNewFor ? fresh : known).push_back(host);
  };
  place(hosts_.self(), started_);
  for (const KnownHost* host : hosts_.Others()) {
    if (host->info.domain == hosts_.self().domain &&
        hosts_.IsAlive(*host, now)) {
      place(host->info, host->alive_since);
    }
  }
  std::vector<HostInfo> introduced;
  const std::size_t count = std::min(fresh.size(), kMostIntroduced);
  for (std::size_t i = 0; i < count; ++i) {
    introduced.push_back(fresh[next_fresh_++ % fresh.size()]);
  }
  if (round_ % kIntroductionRounds == 0 && !known.empty()) {
    introduced.push_back(known[next_known_++ % known.size()]);
  }
  return introduced;
}

// Introductions come first: a host that is not known is passed over.
std::vector<DomainReport> DomainReporter::Introduce(const DomainReport& head,
                                                    DomainReport& beside,
                                                    Time now) {
  std::vector<DomainReport> alone;
  std::size_t members = 0;
  for (const MemberGroup& group : beside.groups) {
    members += group.members.size();
  }
  for (HostInfo& host : Introduced(now)) {
    if (members <= kMembersBeside &&
        beside.host_infos.size() < kIntroducedBeside) {
      beside.host_infos.push_back(std::move(host));
      continue;
    }
    if (alone.empty() || alone.back().host_infos.size() == kIntroducedAlone) {
      alone.push_back(head);
    }
    alone.back().host_infos.push_back(std::move(host));
  }
  return alone;
}

std::vector<DomainReport> DomainReporter::MakeReports(
    const HostVersions& versions,
    Time now) {
  ++round_;
  DomainReport head;
  head.domain = hosts_.self().domain;
  head.forward_to_domain = true;
  ReportPacker packer(head);
  packer.Add({IncarnationId(hosts_.self()), 0, hosts_.self().leaving},
             versions);
  for (const KnownHost* host : hosts_.Others()) {
    if (host->info.domain != head.domain || !hosts_.IsAlive(*host, now)) {
      continue;
    }
    const std::uint32_t age = Milliseconds(now - host->last_seen);
    HostVersions aged = host->versions;
    aged.config_age_ms += age;
    packer.Add({IncarnationId(host->info), static_cast<std::uint16_t>(age),
                host->info.leaving},
               aged);
  }
  std::vector<DomainReport> named = packer.Take();
  std::vector<DomainReport> reports = Introduce(head, named.front(), now);
  reports.insert(reports.end(), named.begin(), named.end());
  return reports;
}

std::vector<std::string> DomainReporter::Receivers(Time now) {
  const std::uint64_t salt = MixHashes(StableHash(hosts_.self().name), round_);
  struct Best {
    const KnownHost* host;
    bool alive;
    std::uint64_t draw;
  };
  std::map<std::string, Best> best;
  for (const KnownHost* host : hosts_.Others()) {
    if (host->info.domain == hosts_.self().domain) {
      continue;
    }
    const bool alive = hosts_.IsAlive(*host, now) && !host->info.leaving;
    const Best candidate{host, alive,
                         MixHashes(salt, StableHash(host->info.name))};
    const auto [place, added] = best.try_emplace(host->info.domain, candidate);
    // Where none is alive by what is known, any may be back.
    if (!added && std::tie(candidate.alive, candidate.draw) >
                      std::tie(place->second.alive, place->second.draw)) {
      place->second = candidate;
    }
  }
  std::vector<std::string> addresses;
  addresses.reserve(best.size());
  for (const auto& [domain, chosen] : best) {
    addresses.push_back(chosen.host->info.peer_address);
  }
  return addresses;
}

}  // namespace pathcleat
