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

/// @brief This host's state of one upstream.
/// @ingroup routing
struct UpstreamState {
  explicit UpstreamState(const UpstreamInfo& entry);

  UpstreamInfo info;
  std::string region;
  std::uint64_t hash = 0;  ///< of the id
  UpstreamLoad load;
  UpstreamHealth health;
  RecentKeys keys;
  RetryScheduler retry_scheduler;  ///< for requests refused for its queue
  Time cold_until;         ///< accepts only a low request rate until then
  TokenBucket rate_share;  ///< this host's share of its bounded rate
  UpstreamLimit limit;     ///< stated in its answers
  bool limit_unreadable = false;     ///< its last answer stated an invalid one
  bool may_be_rate_bounded = false;  ///< tracked for that by UpstreamTable
  std::uint64_t passed_over = 0;  ///< requests that found no rate_share token
  std::uint64_t not_run = 0;      ///< requests that it reported as not run
  Slowness slowness;
  /// Set while its list entry is missing: until when the entry may return.
  std::optional<Time> lapse_deadline;
  Time open_from;        ///< gets no requests before this time
  bool removed = false;  ///< no longer listed; requests in flight go on

  bool IsCold(Time now) const { return now < cold_until; }

  /// @brief Whether all hosts together must keep to a bounded request rate for
  /// it, and this host to its share of that rate.
  bool IsRateBounded(Time now) const {
    return IsCold(now) || limit.IsInForce(now);
  }

  /// @brief Slots that requests can use: fewer than it has while its rate limit
  /// is in force.
  /// @param run_seconds run time of one request; 0: not known.
  double UsableSlots(double run_seconds, Time now) const;
};

}  // namespace pathcleat
