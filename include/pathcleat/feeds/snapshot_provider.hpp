// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

#include "pathcleat/core/time.hpp"
#include "pathcleat/feeds/fleet_snapshot.hpp"

namespace pathcleat {

/// @brief A request of one host for data that another host has.
/// @ingroup feeds
struct FeedRequest {
  SourceTopic topic = SourceTopic::kOrders;
  /// Version that the requester has; 0: none, so all data is sent.
  std::uint64_t after = 0;
  Duration wait{0};  ///< how long to wait if there is no change yet
  std::uint64_t config_version = 0;  ///< in force at the requester; 0: none
};

/// @brief The data of this host that other hosts may request.
/// @ingroup feeds
class SnapshotProvider {
 public:
  virtual ~SnapshotProvider() = default;

  /// @brief Version of the newest change that this host has seen.
  virtual std::uint64_t NewestVersion(SourceTopic topic) const = 0;

  /// @brief The data that this host has and the requester lacks.
  virtual FleetSnapshot MakeSnapshot(const FeedRequest& request) = 0;

  /// @brief The configuration in force on this host; null if there is none yet.
  virtual const RoutingConfig* Config() const = 0;
};

}  // namespace pathcleat
