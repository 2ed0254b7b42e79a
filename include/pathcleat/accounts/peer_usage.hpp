// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "pathcleat/accounts/usage_report.hpp"

namespace pathcleat {

/// @brief Usage of the accounts' limits by the other hosts, taken from the last
/// report of each source. A source is a host of the own failure domain or
/// another domain as a whole. A source that sends no reports may be dead or cut
/// off, and this host cannot distinguish the two cases, so the source's last
/// report continues to count. Not thread-safe.
/// @ingroup accounts
class PeerUsage {
 public:
  PeerUsage(std::string own_domain, std::string own_host)
      : own_domain_(std::move(own_domain)), own_host_(std::move(own_host)) {}

  /// @brief Stores a report. Reports that are older than the last one of their
  /// source and reports of this host are ignored.
  void OnReport(const UsageReport& report, Time now);

  /// @brief Sum over all other hosts for an account.
  AccountUsage UsageOf(std::uint64_t account) const;

  /// @brief Requests a second of an account at the sources that are not silent.
  double HeardDemandOf(std::uint64_t account, Time now) const;

  /// @brief Whether a source whose last report had entries sends no reports
  /// now.
  bool HasSilentSource(Time now) const;

  /// @brief Whether another domain sends no reports now.
  bool HasSilentDomain(Time now) const;

  /// @brief Whether a source that sends reports receives none from some domain.
  bool HasSourceThatLacksDomain(Time now) const;

  /// @brief As HasSourceThatLacksDomain, for hosts of the own domain.
  bool HasNeighborThatLacksDomain(Time now) const;

  /// @brief Drops sources that have sent no report for 10 s, if this host
  /// considers most of the fleet alive: then the silent sources are dead or in
  /// the smaller part of a network partition. Hosts in the smaller part drop no
  /// source and so keep their share.
  /// @param sees_majority whether this host considers most of the listed hosts
  /// alive.
  void ExpireSilentSources(bool sees_majority, Time now);

  /// @brief Drops the usage of a host after its planned stop.
  void RemoveHost(const std::string& host);

  /// @brief Sums over the hosts of the own domain, without this host.
  std::unordered_map<std::uint64_t, AccountUsage> OwnDomainUsage() const;

  /// @brief The last reports of the other failure domains.
  std::vector<UsageReport> OtherDomainReports() const;

 private:
  struct Source {
    UsageReport report;
    Time received_at;
  };
  using SourceName = std::pair<std::string, std::string>;  ///< domain, host

  bool IsSilent(const Source& source, Time now) const;
  void AddToSums(const UsageReport& report, double sign);

  std::string own_domain_;
  std::string own_host_;
  std::map<SourceName, Source> sources_;
  std::unordered_map<std::uint64_t, AccountUsage> sums_;
};

}  // namespace pathcleat
