// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief One upstream, as its list entry tells it.
/// @ingroup routing
struct UpstreamInfo {
  std::string id;
  std::string service;
  std::string address;  ///< IP number and port, "10.1.0.35:8144"
  std::string domain;   ///< failure domain
  std::string version;  ///< of its software
  /// When it started, by its own clock, in milliseconds since the epoch. One
  /// that starts again may keep its id, and knows nothing of before. 0: untold.
  std::uint64_t started_ms = 0;
  int slots = 1;
  bool leaving = false;
  Duration cold_remaining{
      0};  ///< how much longer it bears little, when it was told

  bool operator==(const UpstreamInfo&) const = default;
};

}  // namespace pathcleat
