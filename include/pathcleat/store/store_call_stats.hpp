// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "pathcleat/core/histogram.hpp"
#include "pathcleat/core/store_outcome.hpp"

namespace pathcleat {

/// @brief Statistics of a host's calls to the platform's store.
/// @ingroup store
struct StoreCallStats {
  /// Number of calls by verb and outcome.
  std::map<std::pair<std::string, StoreOutcome>, std::uint64_t> calls;
  Histogram latency;  ///< of calls other than watches
  /// Connections closed because no bytes arrived.
  std::uint64_t silent_connections = 0;

  /// @brief Counts a completed call.
  /// @param is_watch whether the call waits for changes.
  void Record(const std::string& verb,
              StoreOutcome outcome,
              Duration duration,
              bool is_watch) {
    ++calls[{verb, outcome}];
    if (!is_watch) {
      latency.Add(duration);
    }
  }
};

}  // namespace pathcleat
