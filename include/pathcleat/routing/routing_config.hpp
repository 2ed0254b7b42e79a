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

/// @brief Settings of a service, apart from its upstreams.
/// @ingroup routing
struct ServiceInfo {
  std::string name;
  std::string health_path = "/health";
  int max_connections = 0;  ///< to one upstream, from all hosts; 0: no bound
  double cold_per_second =
      0;  ///< requests a second that a cold upstream can handle; 0: no bound
};

/// @brief One complete version of the routes, services and client accounts.
/// @ingroup routing
struct RoutingConfig {
  std::uint64_t version = 0;  ///< never decreases; 0: none received yet
  std::vector<Route> routes;
  std::vector<ServiceInfo> services;
  std::vector<Account> accounts;  ///< empty: callers need no API keys
  HttpLimits caller_limits;
};

}  // namespace pathcleat
