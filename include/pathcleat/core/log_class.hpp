// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace pathcleat {

/// @brief Subject of a log line. When the log buffer fills up, lines of the
/// first class are dropped first.
/// @ingroup core
enum class LogClass : std::uint8_t {
  kRequest,  ///< a request without failure
  kFailure,  ///< a request that was refused, retried, slow or has
             ///< an unknown outcome
  kState,    ///< any other event, e.g. an upstream that fails
};

constexpr std::size_t kLogClassCount = 3;

/// @brief A count for each log class.
using LogCounts = std::array<std::uint64_t, kLogClassCount>;

/// @brief Stable lower-case name of a log class.
/// @ingroup core
const char* ToString(LogClass log_class);

}  // namespace pathcleat
