// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <variant>

#include "pathcleat/rollouts/rollout_order.hpp"
#include "pathcleat/routing/routing_config.hpp"
#include "pathcleat/routing/upstream_info.hpp"

namespace pathcleat {

/// @brief An upstream's entry was removed from the list.
/// @ingroup store
struct UpstreamRemoval {
  std::string id;
};

/// @brief An operator drained a failure domain, or ended its drain.
/// @ingroup store
struct DomainDrain {
  std::string domain;
  bool drained = false;
};

/// @brief An operator withdrew the rollout of a service.
/// @ingroup store
struct RolloutWithdrawn {
  std::string service;
};

/// @brief A row that could not be decoded. If an operator wrote the row, its
/// previous value stays in force. If the row is the entry of an upstream, that
/// upstream is not used.
/// @ingroup store
struct UnreadableRow {
  std::string key;  ///< empty: cannot be decoded; no other row is changed
  std::string reason;
};

/// @brief One change reported by the platform's store.
/// @ingroup store
using FleetChange = std::variant<RoutingConfig,
                                 DomainDrain,
                                 RolloutOrder,
                                 RolloutWithdrawn,
                                 UpstreamInfo,
                                 UpstreamRemoval,
                                 UnreadableRow>;

}  // namespace pathcleat
