// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <vector>

#include "pathcleat/core/time.hpp"
#include "pathcleat/fleet/host_table.hpp"

namespace pathcleat {

/// @brief Decides which hosts of its failure domain a host sends its regular
/// heartbeats to, so that what it sends does not grow with the domain.
///
/// In a small domain that is each of them. In a large one it is the few that
/// rank first: those that report for the domain (DomainReporter), and as many
/// that would stand in for them. They tell the domain who lives. Where no such
/// report has come for a round and a half, heartbeats go to all again, so that
/// the loss of all reporters hides nobody. Not thread-safe.
/// @ingroup fleet
class HeartbeatPlan {
 public:
  /// @param hosts must outlive this.
  explicit HeartbeatPlan(const HostTable& hosts) : hosts_(hosts) {}

  /// @brief A report on the own failure domain has come, or this host makes
  /// them itself.
  void OnOwnDomainReport(Time now) { told_ = now; }

  /// @brief Peer addresses for this round.
  std::vector<std::string> Receivers(Time now) const;

  /// @brief Peer addresses of the living hosts that a reporter tells of their
  /// own domain: none in a small one.
  std::vector<std::string> OwnReportReceivers(Time now) const;

  /// @brief Peer addresses of all other hosts of the domain that are known.
  std::vector<std::string> AllInDomain() const;

  /// @brief Of these, of the ones that are alive.
  std::vector<std::string> AliveInDomain(Time now) const;

 private:
  bool IsLarge(Time now) const;
  std::vector<const KnownHost*> Domain() const;

  const HostTable& hosts_;
  Time told_;
};

}  // namespace pathcleat
