// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "pathcleat/accounts/usage_report.hpp"

namespace pathcleat {

/// @brief What the other hosts take of the accounts' limits, as they last told:
/// host by host in the own failure domain, domain by domain beyond. A source
/// that has fallen silent may be dead or cut off, and nobody here can tell
/// which: it counts with what it told last. Not thread-safe.
/// @ingroup accounts
class PeerUsage {
 public:
  PeerUsage(std::string own_domain, std::string own_host)
      : own_domain_(std::move(own_domain)), own_host_(std::move(own_host)) {}

  /// @brief Takes a report. One that is older than the last of its source is
  /// passed over, and so is one of this host.
  void OnReport(const UsageReport& report, Time now);

  /// @brief What all others together take of an account.
  AccountUsage UsageOf(std::uint64_t account) const;

  /// @brief Whether a source is silent that has told something before.
  bool HasSilentSource(Time now) const;

  /// @brief Sources that have been silent for long are forgotten, if most of
  /// the fleet is heard here: then those are dead, or the smaller part of a
  /// fleet that was cut apart. The smaller part itself keeps to the share that
  /// it had.
  /// @param hears_most whether most of the known hosts are heard.
  void ExpireSilentSources(bool hears_most, Time now);

  /// @brief A host has ended by a planned stop: what it took is free.
  void RemoveHost(const std::string& host);

  /// @brief Sums of the hosts of the own domain, this one left out.
  std::unordered_map<std::uint64_t, AccountUsage> OwnDomainUsage() const;

  /// @brief The last reports of the other failure domains.
  std::vector<UsageReport> OtherDomainReports() const;

 private:
  struct Source {
    UsageReport report;
    Time heard;
  };
  using SourceName = std::pair<std::string, std::string>;  ///< domain, host

  void Count(const UsageReport& report, double sign);

  std::string own_domain_;
  std::string own_host_;
  std::map<SourceName, Source> sources_;
  std::unordered_map<std::uint64_t, AccountUsage> sums_;
};

}  // namespace pathcleat
