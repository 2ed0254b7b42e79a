// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief One response, as far as the evaluation of a version needs it.
/// @ingroup rollouts
struct VersionResponse {
  std::string version;
  std::uint64_t route = 0;     ///< hash of the route's name
  std::uint64_t upstream = 0;  ///< hash of the upstream's id
  bool leaves_region = false;  ///< whether the upstream is in another region
  /// Whether the response is an error or was lost. The latency of a failure is
  /// not judged.
  bool failed = false;
  /// Whether this host has recently sent the key to the upstream. Other
  /// evidence that a key is warm does not hold alike for both versions: keys
  /// that other hosts have sent are warm at the old version only.
  bool warm = false;
  /// Whether requests waited, or all slots were in use, at the upstream.
  bool full = false;
  Duration took{0};  ///< from sending the request, waiting included
  /// Expected time, without waiting, if the upstream was cold for the key.
  Duration cold_run{0};
};

}  // namespace pathcleat
