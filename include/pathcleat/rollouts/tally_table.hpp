// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "pathcleat/core/time.hpp"
#include "pathcleat/rollouts/rollout_tally.hpp"

namespace pathcleat {

/// @brief Sums what hosts tell of one order. Answers once counted stay, also
/// of hosts that have died; what is under way counts only as long as it is
/// told. Not thread-safe.
/// @ingroup rollouts
class TallyTable {
 public:
  explicit TallyTable(std::uint64_t order) : order_(order) {}

  /// @brief A host of the own failure domain tells.
  /// @param incarnation another one at each of its starts: counts begin anew.
  void OnHostTally(std::uint64_t incarnation,
                   const RolloutTally& tally,
                   Time now);

  /// @brief Another failure domain tells of all its hosts.
  void OnDomainTally(const std::string& domain,
                     const RolloutTally& tally,
                     Time now);

  /// @brief A host that hears all of the own failure domain tells of it.
  void OnOwnDomainTally(const RolloutTally& tally, Time now);

  /// @brief The own failure domain, as told to others.
  RolloutTally DomainTally(Time now) const;

  /// @brief The whole fleet.
  RolloutTally FleetTally(Time now) const;

 private:
  struct Told {
    RolloutTally tally;
    Time heard;
  };

  static void Keep(Told& kept, const RolloutTally& tally, Time now);
  static void Add(RolloutTally& sum, const Told& told, Time now);

  std::uint64_t order_;
  std::map<std::uint64_t, Told> hosts_;  ///< by incarnation
  Told own_domain_;                      ///< as others told it
  std::map<std::string, Told> domains_;  ///< all but the own one
};

}  // namespace pathcleat
