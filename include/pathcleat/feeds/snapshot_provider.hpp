// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

#include "pathcleat/core/time.hpp"
#include "pathcleat/feeds/fleet_snapshot.hpp"

namespace pathcleat {

/// @brief What one host asks another for.
/// @ingroup feeds
struct FeedRequest {
  SourceTopic topic = SourceTopic::kOrders;
  std::uint64_t after = 0;           ///< version known; 0: all there is
  Duration wait{0};                  ///< for a change, if there is none yet
  std::uint64_t config_version = 0;  ///< configuration in force there; 0: none
};

/// @brief What a host knows, as others ask for it.
/// @ingroup feeds
class SnapshotProvider {
 public:
  virtual ~SnapshotProvider() = default;

  /// @brief Version of the newest change that this host knows.
  virtual std::uint64_t NewestVersion(SourceTopic topic) const = 0;

  /// @brief What this host knows beyond what is known to who asks.
  virtual FleetSnapshot MakeSnapshot(const FeedRequest& request) = 0;

  /// @brief The configuration in force here; null if there is none yet.
  virtual const RoutingConfig* Config() const = 0;
};

}  // namespace pathcleat
