// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <limits>

#include "pathcleat/fleet/host_info.hpp"

namespace pathcleat {

/// @brief Compares the capacities of hosts. A host's weight is the smallest of
/// its shares of the largest link, processor and number of descriptors: which
/// of them limits a host depends on the requests, and none may be exceeded.
/// @ingroup fleet
class CapacityScale {
 public:
  /// @brief Adds a host to those that are compared.
  void Add(const HostInfo& host);

  /// @brief Weight of a host that was added, greater than 0 and at most 1. A
  /// host that states no capacity gets the smallest weight; 1 for all hosts if
  /// none states its capacity.
  double WeightOf(const HostInfo& host) const;

 private:
  class Range {
   public:
    void Add(double value);
    double ShareOf(double value) const;
    double SmallestShare() const { return ShareOf(low_); }

   private:
    double low_ = std::numeric_limits<double>::max();
    double high_ = 0;  ///< 0: no host stated a value
  };

  Range cores_;
  Range link_;
  Range descriptors_;
};

}  // namespace pathcleat
