// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

namespace pathcleat {

/// @brief How a host learns what changes in the store.
/// @ingroup fleet
enum class StoreAccess : std::uint8_t {
  kFollowingPeer,  ///< from another host
  kWatching,       ///< from the store itself, which answers
  kFailing,        ///< it has asked the store of late and got no answer
};

}  // namespace pathcleat
