// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "pathcleat/rollouts/rollout_order.hpp"
#include "pathcleat/routing/routing_config.hpp"
#include "pathcleat/routing/upstream_info.hpp"
#include "pathcleat/store/fleet_source.hpp"

namespace pathcleat {

/// @brief All that one host knows of a topic: what another one takes over
/// while it cannot reach the platform itself.
/// @ingroup feeds
struct FleetSnapshot {
  SourceTopic topic = SourceTopic::kOrders;
  std::uint64_t version = 0;  ///< up to which the host knows all
  std::uint64_t newest_change_version =
      0;                            ///< of the newest change it has seen
  bool is_full = true;              ///< false: what changed since a version
  bool removals_uncertain = false;  ///< the store was away a moment ago
  std::string config_update;        ///< for kOrders; empty: unchanged
  RoutingConfig config;             ///< what it tells; not sent itself
  std::set<std::string> drained_domains;  ///< for kOrders: failure domains, all
  std::vector<RolloutOrder> rollout_orders;  ///< for kOrders: all that stand
  std::vector<UpstreamInfo> upstreams;       ///< for kUpstreams
  std::vector<std::string>
      removed_upstreams;  ///< for kUpstreams: ids off the list
};

/// @brief A snapshot as a source would have told it.
/// @ingroup feeds
SourceAnswer ToSourceAnswer(const FleetSnapshot& snapshot,
                            const Transfer& transfer);

/// @brief A snapshot's bytes (cereal, portable binary).
/// @ingroup feeds
std::string EncodeSnapshot(const FleetSnapshot& snapshot);

/// @brief Reads a snapshot; nothing if the bytes are none.
/// @ingroup feeds
std::optional<FleetSnapshot> DecodeSnapshot(std::string_view bytes);

}  // namespace pathcleat
