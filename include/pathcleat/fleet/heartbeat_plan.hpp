// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <vector>

#include "pathcleat/core/time.hpp"
#include "pathcleat/fleet/host_table.hpp"

namespace pathcleat {

/// @brief Decides which hosts of its failure domain a host sends its regular
/// heartbeats to, so that its traffic does not grow with the domain.
///
/// In a small domain all hosts receive them. In a large one only the few
/// highest-ranked hosts do: the reporters of the domain (DomainReporter) and as
/// many substitutes. The reporters send the rest of the domain the list of
/// living hosts. If no such report has arrived for one and a half rounds,
/// heartbeats go to all hosts again, so that living hosts stay visible after
/// the loss of all reporters. Not thread-safe.
/// @ingroup fleet
class HeartbeatPlan {
 public:
  /// @param hosts must outlive this.
  explicit HeartbeatPlan(const HostTable& hosts) : hosts_(hosts) {}

  /// @brief Records that a report on the own failure domain has arrived, or
  /// that this host sends these reports itself.
  void OnOwnDomainReport(Time now) { own_domain_report_at_ = now; }

  /// @brief Peer addresses of the hosts that receive this round's heartbeats.
  std::vector<std::string> Receivers(Time now) const;

  /// @brief Peer addresses of the living hosts of the own domain to which a
  /// reporter sends its reports on that domain; empty in a small domain, where
  /// all hosts exchange heartbeats.
  std::vector<std::string> OwnReportReceivers(Time now) const;

  /// @brief Peer addresses of all other hosts of the domain in the host table.
  std::vector<std::string> AllInDomain() const;

  /// @brief Peer addresses of the other hosts of the domain that are alive.
  std::vector<std::string> AliveInDomain(Time now) const;

 private:
  bool IsLarge(Time now) const;
  std::vector<const HostEntry*> OtherHostsInDomain() const;

  const HostTable& hosts_;
  Time own_domain_report_at_;
};

}  // namespace pathcleat
