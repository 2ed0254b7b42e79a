// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief A service's share of a route's requests.
/// @ingroup routing
struct RouteSplit {
  std::string service;
  double weight = 1;
};

/// @brief Which requests a route matches, where they go and how they may be
/// treated.
/// @ingroup routing
struct Route {
  std::string name;
  std::string host;         ///< value of the Host header, without a port
  std::string path_prefix;  ///< begins and ends with a slash
  std::vector<RouteSplit> splits;
  /// Whether a request may run more than once, for example in a retry.
  bool repeatable = false;
  bool large_answers = false;
  bool sticky =
      false;  ///< whether requests of one affinity key go to the same upstreams
  /// Whether callers must send the API key of a client account. Not required
  /// if no accounts are configured.
  bool needs_account_key = true;
  int priority = 0;  ///< lower values are served first; 0: the most urgent
  int max_attempts =
      1;  ///< number of upstreams that one request may be sent to
  Duration timeout{5'000'000};
  Duration target_latency{1'000'000};
  std::vector<std::string> allowed_regions;  ///< empty: any region
};

/// @brief Hash of all fields of a route. Equal routes have equal hashes on
/// every host.
/// @ingroup routing
std::uint64_t ContentHash(const Route& route);

}  // namespace pathcleat
