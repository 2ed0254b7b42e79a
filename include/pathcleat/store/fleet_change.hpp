// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <variant>

#include "pathcleat/rollouts/rollout_order.hpp"
#include "pathcleat/routing/routing_config.hpp"
#include "pathcleat/routing/upstream_info.hpp"

namespace pathcleat {

/// @brief An upstream's entry is gone.
/// @ingroup store
struct UpstreamGone {
  std::string id;
};

/// @brief An operator wants nothing more sent to a failure domain, or again.
/// @ingroup store
struct DomainDrain {
  std::string domain;
  bool drained = false;
};

/// @brief An operator wants no rollout of a service any more.
/// @ingroup store
struct RolloutWithdrawn {
  std::string service;
};

/// @brief A row that could not be understood. An operator's is passed over, so
/// that what it said before stays; an upstream's names no upstream to use.
/// @ingroup store
struct UnreadableRow {
  std::string key;
  std::string reason;
};

/// @brief One thing that the platform's service told.
/// @ingroup store
using FleetChange = std::variant<RoutingConfig,
                                 DomainDrain,
                                 RolloutOrder,
                                 RolloutWithdrawn,
                                 UpstreamInfo,
                                 UpstreamGone,
                                 UnreadableRow>;

}  // namespace pathcleat
