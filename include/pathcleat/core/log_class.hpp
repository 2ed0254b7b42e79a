// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace pathcleat {

/// @brief What a line of the log is about. When there is no room for all of
/// them, lines of the first class go first.
/// @ingroup core
enum class LogClass : std::uint8_t {
  kRequest,  ///< a request that went as it should
  kFailure,  ///< a request that was refused, retried, slow or is unknown
  kState,    ///< what the process believes has changed
};

constexpr std::size_t kLogClassCount = 3;

/// @brief A number for each class.
using LogCounts = std::array<std::uint64_t, kLogClassCount>;

/// @brief Stable lower-case name of a class.
/// @ingroup core
const char* ToString(LogClass log_class);

}  // namespace pathcleat
