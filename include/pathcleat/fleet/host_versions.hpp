// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

#include "pathcleat/fleet/store_access.hpp"
#include "pathcleat/fleet/store_answer_ages.hpp"

namespace pathcleat {

/// @brief The versions of the fleet's shared data that a host has.
/// @ingroup fleet
struct HostVersions {
  std::uint64_t config = 0;     ///< routing configuration in force
  std::uint64_t commands = 0;   ///< operators' commands in force
  std::uint64_t orders = 0;     ///< version of the newest order change seen
  std::uint64_t upstreams = 0;  ///< version of the newest upstream change seen
  StoreAccess store_access = StoreAccess::kFollowingPeer;
  std::uint32_t config_age_ms = 0;  ///< time since `config` came into force
  /// Encoded after the message that has the versions, as hosts of an older
  /// version read the fields of `serialize` and ignore the bytes after them.
  StoreAnswerAges store_answer_ages;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(config, commands, orders, upstreams, store_access, config_age_ms);
  }
};

}  // namespace pathcleat
