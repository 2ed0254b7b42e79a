// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief What this host has heard of the decisions that another host follows.
/// @ingroup rollouts
struct PeerDecisions {
  std::uint64_t commands = 0;  ///< version of its command log when last heard
  Duration silence{0};         ///< time since it was last heard
};

}  // namespace pathcleat
