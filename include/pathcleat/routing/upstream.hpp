// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "pathcleat/routing/error_share.hpp"
#include "pathcleat/routing/recent_keys.hpp"
#include "pathcleat/routing/retry_scheduler.hpp"
#include "pathcleat/routing/slowness.hpp"
#include "pathcleat/routing/upstream_backoff.hpp"
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
  std::uint64_t hash = 0;  ///< hash of the upstream's id
  UpstreamLoad load;
  UpstreamHealth health;
  RecentKeys keys;
  /// Assigns retry times to requests refused because of the upstream's queue.
  RetryScheduler retry_scheduler;
  /// Time until which the upstream accepts only a low request rate.
  Time cold_until;
  TokenBucket rate_share;  ///< this host's share of the upstream's bounded rate
  UpstreamLimit limit;     ///< rate limit stated in the upstream's answers
  /// Whether the last answer of the upstream stated an invalid limit.
  bool limit_unreadable = false;
  /// Whether UpstreamTable::RateBoundCandidates includes the upstream.
  bool is_rate_bound_candidate = false;
  UpstreamBackoff backoff;  ///< time without requests that it asked for
  /// Whether the last Retry-After of the upstream was invalid.
  bool retry_after_unreadable = false;
  /// Whether UpstreamTable::BackingOff includes the upstream.
  bool is_backing_off = false;
  /// Whether the upstream stated in an answer that it leaves.
  bool announced_leaving = false;
  /// Number of times that a choice skipped the upstream because of a SendBlock
  /// that the upstream itself asked for.
  std::uint64_t passed_over = 0;
  /// Number of requests that the upstream reported as not run.
  std::uint64_t not_run = 0;
  Slowness slowness;
  ErrorShare errors;
  /// Time until which the upstream's list entry may return; set only while the
  /// entry is missing.
  std::optional<Time> lapse_deadline;
  Time open_from;  ///< time before which the upstream gets no requests
  /// When this host learnt that the upstream leaves.
  std::optional<Time> leaving_known_at;
  /// When this host last began to write a request to the upstream.
  std::optional<Time> last_write_at;
  /// Whether the upstream is no longer listed; its requests in flight continue.
  bool removed = false;

  bool IsCold(Time now) const { return now < cold_until; }

  /// @brief Whether the request rate of all hosts together to the upstream is
  /// bounded. If so, this host may use only its share of that rate.
  bool IsRateBounded(Time now) const {
    return IsCold(now) || limit.IsInForce(now);
  }

  /// @brief Slots that requests can use. While a rate limit or a backoff is in
  /// force, these are fewer than the upstream has.
  /// @param run_seconds run time of one request in seconds; 0: unknown.
  double UsableSlots(double run_seconds, Time now) const;
};

}  // namespace pathcleat
