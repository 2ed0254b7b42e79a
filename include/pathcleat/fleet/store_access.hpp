// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

namespace pathcleat {

/// @brief How a host receives changes of the store's tables.
/// @ingroup fleet
enum class StoreAccess : std::uint8_t {
  kFollowingPeer,  ///< from another host
  kWatching,       ///< from the store, which answered the last calls
  kFailing,        ///< a recent call to the store got no answer
};

}  // namespace pathcleat
