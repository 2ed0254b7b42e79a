// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "pathcleat/core/hybrid_clock.hpp"
#include "pathcleat/fleet/host_info.hpp"
#include "pathcleat/fleet/host_versions.hpp"
#include "pathcleat/rollouts/rollout_tally.hpp"

namespace pathcleat {

/// @brief A host's regular sign of life.
/// @ingroup fleet
struct Heartbeat {
  HostInfo host;
  HybridTime time;
  HostVersions versions;
  bool wants_reply = false;        ///< the receiver is to answer at once
  RolloutTallies rollout_tallies;  ///< what this host saw of those under way

  template <class Archive>
  void serialize(Archive& archive) {
    archive(host, time, versions, wants_reply, rollout_tallies);
  }
};

/// @brief A heartbeat's bytes (cereal, portable binary).
/// @ingroup fleet
std::string EncodeHeartbeat(const Heartbeat& heartbeat);

/// @brief Reads a datagram; nothing if it is no heartbeat.
/// @ingroup fleet
std::optional<Heartbeat> DecodeHeartbeat(std::string_view bytes);

}  // namespace pathcleat
