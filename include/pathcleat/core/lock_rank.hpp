// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <mutex>

namespace pathcleat {

/// @brief The one lock order: a thread takes locks by rising rank only.
/// The list is the documentation; RankedMutex asserts it in debug builds.
/// @ingroup core
enum class LockRank : int {
  kConfig = 1,      ///< configuration in force
  kMembership = 2,  ///< seats, leases, heartbeats
  kOwner = 3,       ///< slots and waiting requests of owned upstreams
  kRouter = 4,      ///< views of other pools, shifts, retry budget
  kTrace = 5,       ///< explanations of recent requests
  kMetrics = 6,     ///< counters and latency statistics
  kEvents = 7,      ///< time line and log
};

/// @brief A mutex with a rank; meets the standard's BasicLockable.
/// @ingroup core
class RankedMutex {
 public:
  explicit RankedMutex(LockRank rank) : rank_(rank) {}
  void lock();    // NOLINT(readability-identifier-naming)
  void unlock();  // NOLINT(readability-identifier-naming)

 private:
  std::mutex mutex_;
  LockRank rank_;
};

}  // namespace pathcleat
