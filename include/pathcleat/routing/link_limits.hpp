// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <map>
#include <string>

namespace pathcleat {

/// @brief Bounds on requests in flight from this host's region to others.
/// Each host may use an equal part of a bound, so that the sum over the
/// hosts of the region keeps it without talk. Not thread-safe.
/// @ingroup routing
class LinkLimits {
 public:
  /// @param most_in_flight bound of each region that has one, by name.
  explicit LinkLimits(std::map<std::string, int> most_in_flight);

  /// @brief Hosts of this region that may be sending.
  void SetHostCount(int hosts) { sharers_ = hosts; }

  bool HasCapacity(const std::string& region) const;
  void OnSent(const std::string& region) { ++in_flight_[region]; }
  void OnEnded(const std::string& region) { --in_flight_[region]; }

 private:
  std::map<std::string, int> most_;
  std::map<std::string, int> in_flight_;
  int sharers_ = 1;
};

}  // namespace pathcleat
