// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <map>
#include <string>
#include <vector>

#include "pathcleat/routing/route.hpp"

namespace pathcleat {

/// @brief Shares a route's requests among its services by weight. A key keeps
/// its service as long as the shares allow it; where a few popular keys would
/// bend them, requests go to the service that is furthest behind.
/// @ingroup routing
class SplitBalancer {
 public:
  /// @param position where the key falls, in [0, 1).
  /// @return the service; empty for a route without splits.
  std::string Choose(const Route& route, double position);

 private:
  struct Counts {
    std::vector<RouteSplit> splits;  ///< those that were counted under
    std::vector<double> chosen;      ///< fading counts, one a split
    double total = 0;
  };

  static bool Matches(const Counts& counts, const Route& route);

  std::map<std::string, Counts> counts_;  ///< by route name
};

}  // namespace pathcleat
