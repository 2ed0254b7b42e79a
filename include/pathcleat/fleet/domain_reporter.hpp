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

/// @brief Decides which hosts tell other failure domains about their own, what
/// they tell and whom. In each domain the few living hosts that rank first do,
/// so that what hosts exchange grows with the domains and not with the square
/// of the hosts: heartbeats from each to each were 230 bytes a pair of hosts
/// and second. Each report goes to one host of each other domain, which passes
/// it on to its own. Not thread-safe.
/// @ingroup fleet
class DomainReporter {
 public:
  /// @param hosts must outlive this.
  explicit DomainReporter(const HostTable& hosts, Time started)
      : hosts_(hosts), started_(started) {}

  /// @brief Whether this host reports for its domain now. Two do, so that the
  /// loss of one leaves no gap; more than two do for a moment where hosts
  /// disagree on who lives, which does no harm.
  bool IsReporter(Time now) const;

  /// @brief What this host knows of its domain, in reports that fit a datagram:
  /// the next round.
  /// @param versions how far this host itself has come.
  std::vector<DomainReport> MakeReports(const HostVersions& versions, Time now);

  /// @brief Addresses of the hosts that get the round's reports: one of each
  /// other domain, each time another one, so that a host that is cut off or
  /// passes nothing on does no lasting harm.
  std::vector<std::string> Receivers(Time now);

 private:
  std::vector<HostInfo> Introduced(Time now);
  std::vector<DomainReport> Introduce(const DomainReport& head,
                                      DomainReport& beside,
                                      Time now);

  const HostTable& hosts_;
  Time started_;
  std::uint64_t round_ = 0;
  std::size_t next_fresh_ = 0;  ///< turns of those that are new
  std::size_t next_known_ = 0;  ///< and of the others
};

}  // namespace pathcleat
