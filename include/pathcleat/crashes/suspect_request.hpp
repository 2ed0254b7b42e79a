// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "pathcleat/core/time.hpp"
#include "pathcleat/crashes/crash_report.hpp"

namespace pathcleat {

/// @brief What is known of one request that may crash upstreams: which ones
/// ended under it since it was answered last. What hosts know of it can be
/// joined in any order, and more than once.
/// @ingroup crashes
class SuspectRequest {
 public:
  /// @brief An upstream ended under it.
  /// @return whether that was new.
  bool AddCrash(std::uint64_t upstream, Time at);

  /// @brief An upstream answered it: what crashed before was not its doing.
  /// @return whether that was new.
  bool ClearUntil(Time at);

  /// @brief Adds what another host knows.
  /// @return whether something of it was new.
  bool Merge(const CrashEntry& entry, Time now);

  CrashEntry ToEntry(RequestDigest request, Time now) const;

  /// @brief Upstreams that ended under it; kCrashBlockThreshold stands for any
  /// larger number.
  std::size_t crash_count() const { return signs_.size(); }
  bool IsBlocked() const { return signs_.size() >= kCrashBlockThreshold; }
  int failed_trials() const { return failed_trials_; }

  /// @brief When the last of them ended, as far as it counted.
  Time LastCrashTime() const;

  /// @brief When a blocked request may be tried again.
  Time BlockedUntil() const;

  /// @brief Whether nothing more can come of what is known.
  bool IsExpired(Time now) const;

 private:
  struct Sign {
    std::uint64_t upstream;
    Time at;
  };

  std::vector<Sign> signs_;  ///< since answered_; kCrashBlockThreshold at most
  Time answered_ = Time::min();
  std::uint8_t failed_trials_ = 0;
};

}  // namespace pathcleat
