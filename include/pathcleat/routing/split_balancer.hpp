// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <map>
#include <string>
#include <vector>

#include "pathcleat/routing/route.hpp"

namespace pathcleat {

/// @brief Distributes a route's requests among its services by weight. A key
/// keeps its service while the weights are met; if a few popular keys would
/// make a service exceed its share, requests go to the service furthest below
/// its share.
/// @ingroup routing
class SplitBalancer {
 public:
  /// @param position of the key, in [0, 1).
  /// @return the service; empty for a route without splits.
  std::string Choose(const Route& route, double position);

 private:
  struct Counts {
    std::vector<RouteSplit> splits;  ///< the splits that `chosen` counts
    std::vector<double> chosen;      ///< decaying request count of each split
    double total = 0;
  };

  static bool Matches(const Counts& counts, const Route& route);

  std::map<std::string, Counts> counts_;  ///< by route name
};

}  // namespace pathcleat
