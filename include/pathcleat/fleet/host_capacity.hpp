// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

namespace pathcleat {

/// @brief The resources of a host, as its settings state them.
/// @ingroup fleet
struct HostCapacity {
  double cpu_cores = 0;               ///< 0: not stated
  std::uint32_t max_descriptors = 0;  ///< of files and sockets; 0: not stated

  bool IsStated() const { return cpu_cores > 0 || max_descriptors > 0; }
};

}  // namespace pathcleat
