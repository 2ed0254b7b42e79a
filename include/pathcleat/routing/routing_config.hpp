// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pathcleat/accounts/account.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/http/http_limits.hpp"
#include "pathcleat/routing/route.hpp"

namespace pathcleat {

/// @brief What is known of a service beside its upstreams.
/// @ingroup routing
struct ServiceInfo {
  std::string name;
  std::string health_path = "/health";
  int max_connections = 0;     ///< an upstream, from all hosts; 0: no bound
  double cold_per_second = 0;  ///< requests a cold upstream bears; 0: no bound
};

/// @brief One version of the routes, services and client accounts, whole.
/// @ingroup routing
struct RoutingConfig {
  std::uint64_t version = 0;  ///< rises; 0: none is known yet
  std::vector<Route> routes;
  std::vector<ServiceInfo> services;
  std::vector<Account> accounts;  ///< none: callers need no keys
  HttpLimits caller_limits;
};

}  // namespace pathcleat
