// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/fleet/domain_reporter.hpp"

#include <algorithm>
#include <map>
#include <tuple>

#include "pathcleat/core/hash.hpp"
#include "pathcleat/fleet/host_rank.hpp"

namespace pathcleat {
namespace {

constexpr int kReporterCount = 2;
// A reporter that missed two heartbeats (0.5 s apart) is replaced. Other
// domains then get reports on this domain again before they count its hosts as
// dead, 2.5 s after the last heartbeat of a host.
constexpr Duration kReporterTimeout{1'100'000};
// At 10 bytes per host and 45 bytes per group, this many hosts in three groups
// fit a datagram of 1,472 bytes. More groups are rare and need a second packet.
constexpr std::size_t kMaxMembersPerReport = 125;
// A report with at most this many members has space for three host records of
// 150 bytes in the same datagram.
constexpr std::size_t kMaxMembersWithHostInfos = 52;
constexpr std::size_t kMaxHostInfosWithMembers = 3;
// Maximum number of host records in a datagram without members.
constexpr std::size_t kMaxHostInfosWithoutMembers = 6;
// Maximum number of new hosts whose records are sent in one round. If 33 hosts
// of a domain start at the same moment and each has read the rows of only a few
// other hosts, a reporter sends all their records in two rounds. If 295 hosts
// of a fleet start in this way, each has all records within 3 s.
constexpr std::size_t kMaxNewHostInfosPerRound = 21;
// For this long after its start the record of a new host is sent repeatedly, so
// that other domains get the record even if one or two datagrams are lost.
constexpr Duration kNewHostWindow{3'000'000};
// Once in this many rounds a reporter also sends the record of one host that is
// not new, a different host each time, for receivers that missed the record
// before. So it sends the records of a domain of 33 hosts once in 66 s.
constexpr std::uint64_t kRoundsPerOtherHostInfo = 4;

// The versions that must be equal for two hosts to be in one group.
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

// Distributes hosts over reports and, within a report, over groups.
class ReportPacker {
 public:
  explicit ReportPacker(DomainReport head) : head_(std::move(head)) {}

  void Add(const MemberObservation& member, const HostVersions& versions) {
    if (reports_.empty() || member_count_ == kMaxMembersPerReport) {
      StartReport();
    }
    ++member_count_;
    const auto [place, added] =
        groups_.try_emplace(KeyOf(versions), reports_.back().groups.size());
    if (added) {
      reports_.back().groups.push_back({versions, {}});
    }
    MemberGroup& group = reports_.back().groups[place->second];
    group.versions.config_age_ms =
        std::max(group.versions.config_age_ms, versions.config_age_ms);
    group.versions.store_answer_ages.TakeYounger(versions.store_answer_ages);
    group.members.push_back(member);
  }

  std::vector<DomainReport> Take() { return std::move(reports_); }

 private:
  void StartReport() {
    reports_.push_back(head_);
    groups_.clear();
    member_count_ = 0;
  }

  DomainReport head_;
  std::vector<DomainReport> reports_;
  std::map<GroupKey, std::size_t> groups_;  ///< index in the last report
  std::size_t member_count_ = 0;            ///< hosts in the last report
};

}  // namespace

bool DomainReporter::IsReporter(Time now) const {
  const auto has_recent_heartbeat = [now](const HostEntry& host) {
    return host.has_heartbeat && now - host.last_seen <= kReporterTimeout;
  };
  return CountHigherRanked(hosts_, hosts_.self(), has_recent_heartbeat) <
         kReporterCount;
}

// Chooses the hosts whose records are sent in this round: new hosts in turn
// and, every few rounds, one other host in turn.
std::vector<HostInfo> DomainReporter::ChooseHostInfos(Time now) {
  std::vector<HostInfo> new_hosts;
  std::vector<HostInfo> other_hosts;
  const auto place = [&](const HostInfo& host, Time since) {
    (now - since <= kNewHostWindow ? new_hosts : other_hosts).push_back(host);
  };
  place(hosts_.self(), started_);
  for (const HostEntry* host : hosts_.Others()) {
    if (host->info.domain == hosts_.self().domain &&
        hosts_.IsAlive(*host, now)) {
      place(host->info, host->alive_since);
    }
  }
  std::vector<HostInfo> chosen_hosts;
  const std::size_t count =
      std::min(new_hosts.size(), kMaxNewHostInfosPerRound);
  for (std::size_t i = 0; i < count; ++i) {
    chosen_hosts.push_back(new_hosts[next_new_host_++ % new_hosts.size()]);
  }
  if (round_ % kRoundsPerOtherHostInfo == 0 && !other_hosts.empty()) {
    chosen_hosts.push_back(
        other_hosts[next_other_host_++ % other_hosts.size()]);
  }
  return chosen_hosts;
}

// Adds host records to the report with members while they fit, and returns
// reports for the rest. The returned reports are to be sent first, as receivers
// ignore members whose records they do not have.
std::vector<DomainReport> DomainReporter::AddHostInfos(
    const DomainReport& head,
    DomainReport& with_members,
    Time now) {
  std::vector<DomainReport> without_members;
  std::size_t members = 0;
  for (const MemberGroup& group : with_members.groups) {
    members += group.members.size();
  }
  for (HostInfo& host : ChooseHostInfos(now)) {
    if (members <= kMaxMembersWithHostInfos &&
        with_members.host_infos.size() < kMaxHostInfosWithMembers) {
      with_members.host_infos.push_back(std::move(host));
      continue;
    }
    if (without_members.empty() || without_members.back().host_infos.size() ==
                                       kMaxHostInfosWithoutMembers) {
      without_members.push_back(head);
    }
    without_members.back().host_infos.push_back(std::move(host));
  }
  return without_members;
}

std::vector<DomainReport> DomainReporter::MakeReports(
    const HostVersions& versions,
    Time now) {
  ++round_;
  DomainReport head;
  head.domain = hosts_.self().domain;
  head.forward_to_domain = true;
  ReportPacker packer(head);
  packer.Add({IncarnationId(hosts_.self()), 0, hosts_.self().leaving,
              hosts_.self().isolated, hosts_.self().load_step},
             versions);
  for (const HostEntry* host : hosts_.Others()) {
    if (host->info.domain != head.domain || !hosts_.IsAlive(*host, now)) {
      continue;
    }
    const std::uint32_t age = Milliseconds(now - host->last_seen);
    HostVersions aged = host->versions;
    aged.config_age_ms = AddSaturated(aged.config_age_ms, age);
    aged.store_answer_ages.Advance(now - host->last_seen);
    packer.Add({IncarnationId(host->info), static_cast<std::uint16_t>(age),
                host->info.leaving, host->info.isolated, host->info.load_step},
               aged);
  }
  std::vector<DomainReport> member_reports = packer.Take();
  std::vector<DomainReport> reports =
      AddHostInfos(head, member_reports.front(), now);
  reports.insert(reports.end(), member_reports.begin(), member_reports.end());
  return reports;
}

std::vector<std::string> DomainReporter::Receivers(Time now) {
  const std::uint64_t salt = MixHashes(StableHash(hosts_.self().name), round_);
  struct Best {
    const HostEntry* host;
    bool alive;
    std::uint64_t hash;
  };
  std::map<std::string, Best> best;
  for (const HostEntry* host : hosts_.Others()) {
    if (host->info.domain == hosts_.self().domain) {
      continue;
    }
    const bool alive = hosts_.IsAlive(*host, now) && !host->info.leaving;
    const Best candidate{host, alive,
                         MixHashes(salt, StableHash(host->info.name))};
    const auto [place, added] = best.try_emplace(host->info.domain, candidate);
    // If no host of the domain counts as alive here, any of them may be
    // reachable again, so dead hosts are candidates too.
    if (!added && std::tie(candidate.alive, candidate.hash) >
                      std::tie(place->second.alive, place->second.hash)) {
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
