// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>

namespace pathcleat {

/// @brief Limits on the connections of one host, by listener. 0: no limit.
/// @ingroup settings
struct ConnectionLimits {
  std::size_t callers = 0;
  std::size_t locate = 0;
  std::size_t peers = 0;   ///< from other hosts
  std::size_t others = 0;  ///< each of readiness, operators and metrics
};

/// @brief Divides the file descriptors of the process among its listeners, so
/// that a crowd at one of them leaves descriptors for the others, for
/// connections to upstreams and for files.
/// @param max_descriptors 0: no limit is known.
/// @ingroup settings
ConnectionLimits DivideDescriptors(std::uint64_t max_descriptors);

/// @brief The smaller one of the limit of the process and the limit that the
/// settings state. 0: no limit.
/// @param stated_descriptors 0: not stated.
/// @ingroup settings
std::uint64_t MaxDescriptors(std::uint32_t stated_descriptors);

/// @brief How many bytes a host may hold for requests, answers and connections,
/// given the memory of its machine.
/// @param memory_mb in units of 10^6 bytes.
/// @ingroup settings
std::uint64_t MemoryBudgetBytes(std::uint32_t memory_mb);

}  // namespace pathcleat
