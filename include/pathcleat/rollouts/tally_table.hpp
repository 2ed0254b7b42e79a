// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "pathcleat/core/time.hpp"
#include "pathcleat/rollouts/report_ages.hpp"
#include "pathcleat/rollouts/rollout_tally.hpp"

namespace pathcleat {

/// @brief Sums the reports of all hosts on one order. Answers stay in the sum
/// after the host that counted them has died. Requests in flight are included
/// only as long as their host reports. Not thread-safe.
/// @ingroup rollouts
class TallyTable {
 public:
  explicit TallyTable(std::uint64_t order) : order_(order) {}

  /// @brief Handles the tally of a host of the own failure domain.
  /// @param incarnation differs at each start of the host, as the host's counts
  /// restart from zero.
  void OnHostTally(std::uint64_t incarnation,
                   const RolloutTally& tally,
                   Time now);

  /// @brief Handles the sum over the hosts of another failure domain.
  void OnDomainTally(const std::string& domain,
                     const RolloutTally& tally,
                     Time now);

  /// @brief Handles the sum over the own failure domain, from a host that
  /// receives the reports of all hosts of this domain.
  void OnOwnDomainTally(const RolloutTally& tally, Time now);

  /// @brief Sum over the own failure domain, to report to other domains.
  RolloutTally DomainTally(Time now) const;

  /// @brief Sum over the whole fleet.
  RolloutTally FleetTally(Time now) const;

  /// @brief Ages of the reports in FleetTally. Reports of an earlier start of a
  /// host count as overdue.
  ReportAges AgesOfReports(Time now) const;

 private:
  struct Received {
    RolloutTally tally;
    Time received_at;
  };

  static void Update(Received& kept, const RolloutTally& tally, Time now);
  static void Add(RolloutTally& sum, const Received& received, Time now);

  std::uint64_t order_;
  std::map<std::uint64_t, Received> hosts_;  ///< by incarnation
  Received own_domain_;                      ///< as reported by another host
  std::map<std::string, Received>
      domains_;  ///< all failure domains except the own domain
};

}  // namespace pathcleat
