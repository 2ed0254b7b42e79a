// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief List entry of one upstream.
/// @ingroup routing
struct UpstreamInfo {
  std::string id;
  std::string service;
  std::string address;  ///< IP number and port, "10.1.0.35:8144"
  std::string domain;   ///< failure domain
  std::string version;  ///< of its software
  /// Start time by the upstream's own clock, in milliseconds since the epoch.
  /// An upstream may keep its id over a restart but loses its state. 0: not
  /// reported.
  std::uint64_t started_ms = 0;
  int slots = 1;  ///< number of requests that it runs at once
  bool leaving = false;
  /// Time for which the upstream still accepts only a low request rate, as of
  /// the report.
  Duration cold_remaining{0};

  bool operator==(const UpstreamInfo&) const = default;
};

}  // namespace pathcleat
