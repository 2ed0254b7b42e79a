// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "pathcleat/settings/deployment.hpp"

namespace pathcleat {

/// @brief The service and kind that a request belongs to.
/// @ingroup host
struct RouteMatch {
  ServiceIndex service;
  std::uint16_t kind_index = 0;
};

/// @brief How far a request's method and target match the services.
/// @ingroup host
enum class MatchFault {
  kNoService,  ///< no service has a prefix of this path: 404
  kNoKind,     ///< the service has no kind with this method and path: 405
};

/// @brief Result of matching: a match, or why there is none.
/// @ingroup host
struct MatchResult {
  std::optional<RouteMatch> match;
  MatchFault fault = MatchFault::kNoService;
};

/// @brief Finds the service with the longest matching path prefix, and its
/// first kind that takes the method and path.
/// @ingroup host
MatchResult MatchRequest(const Deployment& deployment,
                         std::string_view method,
                         std::string_view target);

}  // namespace pathcleat
