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

/// @brief The message that a host sends at regular intervals to show that it
/// is alive.
/// @ingroup fleet
struct Heartbeat {
  HostInfo host;
  HybridTime time;
  HostVersions versions;
  bool wants_reply = false;        ///< the receiver replies at once
  RolloutTallies rollout_tallies;  ///< this host's figures on active rollouts

  template <class Archive>
  void serialize(Archive& archive) {
    archive(host, time, versions, wants_reply, rollout_tallies);
  }
};

/// @brief Encodes a heartbeat (cereal, portable binary).
/// @ingroup fleet
std::string EncodeHeartbeat(const Heartbeat& heartbeat);

/// @brief Decodes a heartbeat; `std::nullopt` if the bytes are not a
/// heartbeat.
/// @ingroup fleet
std::optional<Heartbeat> DecodeHeartbeat(std::string_view bytes);

}  // namespace pathcleat
