// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "pathcleat/routing/recent_keys.hpp"
#include "pathcleat/routing/retry_scheduler.hpp"
#include "pathcleat/routing/slowness.hpp"
#include "pathcleat/routing/upstream_health.hpp"
#include "pathcleat/routing/upstream_info.hpp"
#include "pathcleat/routing/upstream_limit.hpp"
#include "pathcleat/routing/upstream_load.hpp"
#include "pathcleat/steer/token_bucket.hpp"

namespace pathcleat {

/// @brief One upstream as this host knows it.
/// @ingroup routing
struct UpstreamState {
  explicit UpstreamState(const UpstreamInfo& entry);

  UpstreamInfo info;
  std::string region;
  std::uint64_t hash = 0;  ///< of the id
  UpstreamLoad load;
  UpstreamHealth health;
  RecentKeys keys;
  RetryScheduler retry_scheduler;  ///< of requests refused for its queue
  Time cold_until;                 ///< bears few requests until then
  TokenBucket rate_share;          ///< this host's share of its bounded rate
  UpstreamLimit limit;             ///< that it names in its answers
  bool limit_unreadable = false;   ///< its last answer named one that is none
  bool may_be_rate_bounded =
      false;  ///< whether the table looks after its bounded rate
  std::uint64_t passed_over = 0;  ///< requests that its share had no room for
  std::uint64_t not_run = 0;      ///< requests that it said it did not run
  Slowness slowness;
  std::optional<Time> lapse_deadline;  ///< its entry is gone; it may come back
  Time open_from;                      ///< no requests before
  bool removed = false;  ///< off the list; requests under way go on

  bool IsCold(Time now) const { return now < cold_until; }

  /// @brief Whether all hosts together may send it requests at a bounded rate
  /// alone, this host at that of its share.
  bool IsRateBounded(Time now) const {
    return IsCold(now) || limit.IsInForce(now);
  }

  /// @brief Slots that requests can use: fewer than it has while it names a
  /// limit.
  /// @param run_seconds how long they run; 0: not known.
  double UsableSlots(double run_seconds, Time now) const;
};

}  // namespace pathcleat
