// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/settings/host_limits.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace pathcleat {
namespace {

// File descriptors that are not divided: 200 for files and the runtime, the
// rest for the store, readiness, metrics and operators.
constexpr std::uint64_t kReservedDescriptors = 300;
// Minimum number of connections, also where the limit of descriptors is below
// kReservedDescriptors.
constexpr std::uint64_t kMinCallerConnections = 64;
constexpr std::uint64_t kMinOtherConnections = 32;
// Each of readiness, operators and metrics serves a few known callers.
constexpr std::size_t kServiceConnections = 16;
// Each request in flight may hold a second connection, to its upstream.
constexpr std::uint64_t kCallersDivisor = 2;
constexpr std::uint64_t kLocateDivisor = 8;
constexpr std::uint64_t kPeersDivisor = 8;

constexpr double kBytesPerMegabyte = 1e6;
// What remains covers the allocator's overhead and short peaks.
constexpr double kUsableShare = 0.8;
// Memory of the process apart from requests, answers and connections.
constexpr double kProcessBytes = 24e6;
// On machines that are too small for kProcessBytes.
constexpr double kMinBudgetShare = 0.25;

}  // namespace

ConnectionLimits DivideDescriptors(std::uint64_t max_descriptors) {
  if (max_descriptors == 0) {
    return {};
  }
  const std::uint64_t left =
      std::max(max_descriptors, kReservedDescriptors) - kReservedDescriptors;
  ConnectionLimits limits;
  limits.callers = std::max(left / kCallersDivisor, kMinCallerConnections);
  limits.locate = std::max(left / kLocateDivisor, kMinOtherConnections);
  limits.peers = std::max(left / kPeersDivisor, kMinOtherConnections);
  limits.others = kServiceConnections;
  return limits;
}

std::uint64_t MaxDescriptors(std::uint32_t stated_descriptors) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return stated_descriptors;
  }
  return stated_descriptors == 0
             ? limit.rlim_cur
             : std::min<std::uint64_t>(limit.rlim_cur, stated_descriptors);
}

std::uint64_t MemoryBudgetBytes(std::uint32_t memory_mb) {
  const double memory = memory_mb * kBytesPerMegabyte;
  return static_cast<std::uint64_t>(std::max(
      memory * kUsableShare - kProcessBytes, memory * kMinBudgetShare));
}

}  // namespace pathcleat
