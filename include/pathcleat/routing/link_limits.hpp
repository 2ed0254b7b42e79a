// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <map>
#include <string>

namespace pathcleat {

/// @brief Bounds on requests in flight from this host's region to other
/// regions. Each host may use an equal share of a bound, so that the hosts of
/// the region together stay within the bound without coordination. Not
/// thread-safe.
/// @ingroup routing
class LinkLimits {
 public:
  /// @param max_in_flight bound on requests in flight by name of the other
  /// region; regions without an entry have no bound.
  explicit LinkLimits(std::map<std::string, int> max_in_flight);

  /// @brief Sets how many hosts of this region share each bound.
  void SetHostCount(int hosts) { host_count_ = hosts; }

  bool HasCapacity(const std::string& region) const;
  void OnSent(const std::string& region) { ++in_flight_[region]; }
  void OnEnded(const std::string& region) { --in_flight_[region]; }

 private:
  std::map<std::string, int> max_in_flight_;
  std::map<std::string, int> in_flight_;
  int host_count_ = 1;
};

}  // namespace pathcleat
