// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "pathcleat/core/time.hpp"
#include "pathcleat/fleet/domain_report.hpp"
#include "pathcleat/fleet/host_table.hpp"

namespace pathcleat {

/// @brief Decides which hosts report on their own failure domain to the other
/// domains, what the reports contain and who receives them.
///
/// In each domain the few highest-ranked living hosts report, so that traffic
/// grows with the number of domains and not with the square of the number of
/// hosts: heartbeats from every host to every other cost 230 bytes per second
/// for each pair of hosts. Each report goes to one host of each other domain,
/// which forwards it within its own domain. Not thread-safe.
/// @ingroup fleet
class DomainReporter {
 public:
  /// @param hosts must outlive this.
  explicit DomainReporter(const HostTable& hosts, Time started)
      : hosts_(hosts), started_(started) {}

  /// @brief Sets when this host began to send, if that was after this object
  /// was made.
  void SetStarted(Time started) { started_ = started; }

  /// @brief Whether this host reports for its domain now. Two hosts of a domain
  /// report, so that reports continue if one of them fails. While hosts
  /// disagree on which hosts are alive, more than two may report; receivers
  /// accept that.
  bool IsReporter(Time now) const;

  /// @brief Starts the next round and returns its reports: the data that this
  /// host has on the hosts of its domain, split so that each report fits a
  /// datagram.
  /// @param versions the versions that this host itself has in force.
  std::vector<DomainReport> MakeReports(const HostVersions& versions, Time now);

  /// @brief Peer addresses of the hosts that receive the reports of this
  /// round: one host of each other domain. The choice changes from round to
  /// round: if the receiver is cut off or does not forward reports, its domain
  /// misses the reports of that round only.
  std::vector<std::string> Receivers(Time now);

 private:
  std::vector<HostInfo> ChooseHostInfos(Time now);
  std::vector<DomainReport> AddHostInfos(const DomainReport& head,
                                         DomainReport& with_members,
                                         Time now);

  const HostTable& hosts_;
  Time started_;
  std::uint64_t round_ = 0;
  std::size_t next_new_host_ = 0;  ///< round-robin position among new hosts
  /// Round-robin position among the hosts that are not new.
  std::size_t next_other_host_ = 0;
};

}  // namespace pathcleat
