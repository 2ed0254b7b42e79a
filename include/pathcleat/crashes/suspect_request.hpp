// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "pathcleat/core/time.hpp"
#include "pathcleat/crashes/crash_report.hpp"

namespace pathcleat {

/// @brief State of one request that may crash upstreams: the upstreams that
/// ended while running the request since the request's last answer. The states
/// of several hosts can be merged in any order, and repeatedly.
/// @ingroup crashes
class SuspectRequest {
 public:
  /// @brief Records that an upstream ended while running the request.
  /// @return whether the state changed.
  bool AddCrash(std::uint64_t upstream, Time at);

  /// @brief Records that an upstream answered the request, so that earlier
  /// crashes were not caused by the request.
  /// @return whether crashes were removed.
  bool ClearUntil(Time at);

  /// @brief Merges the state of another host.
  /// @return whether crashes were added or removed.
  bool Merge(const CrashEntry& entry, Time now);

  CrashEntry ToEntry(RequestDigest request, Time now) const;

  /// @brief Number of upstreams that ended while running the request;
  /// kCrashBlockThreshold stands for any larger number.
  std::size_t crash_count() const { return observations_.size(); }
  bool IsBlocked() const {
    return observations_.size() >= kCrashBlockThreshold;
  }
  int failed_trials() const { return failed_trials_; }

  /// @brief Time of the last of the crashes that are counted.
  Time LastCrashTime() const;

  /// @brief Time from which a blocked request may be tried again.
  Time BlockedUntil() const;

  /// @brief Whether the state can be discarded, as it is too old to have an
  /// effect.
  bool IsExpired(Time now) const;

 private:
  struct Observation {
    std::uint64_t upstream;
    Time at;
  };

  std::vector<Observation>
      observations_;  ///< since answered_at_; at most kCrashBlockThreshold
  Time answered_at_ = Time::min();
  std::uint8_t failed_trials_ = 0;
};

}  // namespace pathcleat
