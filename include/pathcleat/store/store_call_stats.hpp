// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "pathcleat/core/histogram.hpp"
#include "pathcleat/core/store_outcome.hpp"

namespace pathcleat {

/// @brief What a host's calls to the platform's store came to.
/// @ingroup store
struct StoreCallStats {
  /// Calls by what was called and how they ended.
  std::map<std::pair<std::string, StoreOutcome>, std::uint64_t> calls;
  Histogram latency;  ///< of calls that do not wait for changes
  std::uint64_t silent_connections = 0;  ///< given up, as nothing came

  /// @param waits whether the call waits for a change.
  void Record(const std::string& verb,
              StoreOutcome outcome,
              Duration took,
              bool waits) {
    ++calls[{verb, outcome}];
    if (!waits) {
      latency.Add(took);
    }
  }
};

}  // namespace pathcleat
