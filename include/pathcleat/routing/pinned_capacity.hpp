// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <map>
#include <string>
#include <utility>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief How much of a region's room is taken by client accounts that may run
/// nowhere else. What may run elsewhere is placed by the rest: where it was
/// placed by all of it, one large account at home in the smallest region made
/// that region's other callers wait or be refused while others had room. Told
/// in steps, as all hosts are to place keys alike though each hears of the
/// demand a little differently. Not thread-safe.
/// @ingroup routing
class PinnedCapacity {
 public:
  /// @brief A request was placed: from these the services' parts of all
  /// requests and their run times are learned.
  void OnPlaced(const std::string& service, Duration run);

  /// @brief How long a service's requests run of late, seconds; 0: not known.
  double RunSecondsOf(const std::string& service) const;

  /// @brief Requests a second of accounts at home there, by region.
  void SetDemand(const std::map<std::string, double>& per_second);

  /// @brief The part of a region's slots of a service that is taken so, from 0
  /// to nearly 1.
  double ShareOf(const std::string& service,
                 const std::string& region,
                 double slots);

 private:
  struct Use {
    double requests = 0;     ///< of late, fading with each that is placed
    double run_seconds = 0;  ///< on average of late
  };

  double Taken(const std::string& service,
               const std::string& region,
               double slots) const;

  std::map<std::string, Use> uses_;       ///< by service
  std::map<std::string, double> demand_;  ///< by region
  std::map<std::pair<std::string, std::string>, double> told_;
};

}  // namespace pathcleat
