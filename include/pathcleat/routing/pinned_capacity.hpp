// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <map>
#include <string>
#include <utility>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Computes which share of a region's slots is used by client accounts
/// that may run in no other region (pinned accounts). Requests that may run
/// elsewhere are placed by the remaining slots: when they were placed by all
/// slots, one large account restricted to the smallest region made other
/// callers of that region wait or be refused while other regions had free
/// slots. The share changes in steps, because all hosts must place keys alike
/// although each receives slightly different demand values. Not thread-safe.
/// @ingroup routing
class PinnedCapacity {
 public:
  /// @brief Records a placed request. From these requests the services' shares
  /// of all requests and their run times are estimated.
  void OnPlaced(const std::string& service, Duration run);

  /// @brief Recent mean run time of a service's requests, in seconds; 0 if
  /// there were none.
  double RunSecondsOf(const std::string& service) const;

  /// @brief Sets the demand of accounts that may run in one region alone, in
  /// requests a second, by region.
  void SetDemand(const std::map<std::string, double>& per_second);

  /// @brief Share of a region's slots of a service that is used by pinned
  /// accounts, from 0 to 0.875.
  /// @param slots number of slots that the service has in the region.
  double ShareOf(const std::string& service,
                 const std::string& region,
                 double slots);

 private:
  struct ServiceUsage {
    /// Number of recent requests; earlier requests lose weight with each new
    /// one.
    double requests = 0;
    double run_seconds = 0;  ///< recent mean run time of a request
  };

  double ExactShare(const std::string& service,
                    const std::string& region,
                    double slots) const;

  std::map<std::string, ServiceUsage> usage_by_service_;
  std::map<std::string, double> demand_by_region_;
  std::map<std::pair<std::string, std::string>, double>
      reported_shares_;  ///< by service and region
};

}  // namespace pathcleat
