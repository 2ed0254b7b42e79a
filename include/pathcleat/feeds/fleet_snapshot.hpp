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

/// @brief The data that one host has on a topic, in the form in which it is
/// sent to hosts that do not read the platform's tables themselves.
/// @ingroup feeds
struct FleetSnapshot {
  SourceTopic topic = SourceTopic::kOrders;
  std::uint64_t version = 0;  ///< version up to which the data is complete
  std::uint64_t newest_change_version = 0;  ///< seen by the sending host
  bool is_full = true;  ///< false: only changes since a version
  /// The store was unreachable recently: missing entries may have expired
  /// instead of having been removed.
  bool removals_uncertain = false;
  std::string config_update;  ///< for kOrders; empty: unchanged
  RoutingConfig config;       ///< decoded from config_update; not sent
  std::set<std::string> drained_domains;  ///< for kOrders: all drained domains
  std::vector<RolloutOrder> rollout_orders;  ///< for kOrders: all active orders
  std::vector<UpstreamInfo> upstreams;       ///< for kUpstreams
  std::vector<std::string>
      removed_upstreams;  ///< for kUpstreams: ids of removed upstreams
};

/// @brief Converts a snapshot to the answer that a source would have given.
/// @ingroup feeds
SourceAnswer ToSourceAnswer(const FleetSnapshot& snapshot,
                            const Transfer& transfer);

/// @brief Encodes a snapshot (cereal, portable binary).
/// @ingroup feeds
std::string EncodeSnapshot(const FleetSnapshot& snapshot);

/// @brief Decodes a snapshot; `std::nullopt` if the bytes are not a snapshot.
/// @ingroup feeds
std::optional<FleetSnapshot> DecodeSnapshot(std::string_view bytes);

}  // namespace pathcleat
