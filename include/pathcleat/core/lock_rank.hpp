// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <mutex>

namespace pathcleat {

/// @brief Lock order: a thread acquires locks in order of rising rank, which
/// rules out deadlocks. RankedMutex asserts the order in debug builds.
/// @ingroup core
enum class LockRank : int {
  kConfig = 1,      ///< active configuration
  kMembership = 2,  ///< hosts, leases, heartbeats
  kOwner = 3,       ///< slots and queued requests of owned upstreams
  kRouter = 4,      ///< state of other pools, shifts, retry budget
  kTrace = 5,       ///< explanations of recent requests
  kMetrics = 6,     ///< counters and latency statistics
  kEvents = 7,      ///< events kept in memory by EventLog
};

/// @brief A mutex with a rank; meets the BasicLockable requirements.
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
