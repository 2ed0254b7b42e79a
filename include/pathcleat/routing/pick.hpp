// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "pathcleat/accounts/account.hpp"
#include "pathcleat/rollouts/version_rule.hpp"
#include "pathcleat/routing/route.hpp"
#include "pathcleat/routing/upstream_table.hpp"
#include "pathcleat/routing/urgency_tracker.hpp"
#include "pathcleat/routing/warmth.hpp"

namespace pathcleat {

/// @brief One request that wants an upstream.
/// @ingroup routing
struct PickRequest {
  const Route* route = nullptr;
  const Account* account = nullptr;  ///< null: the caller is of none
  std::string service;
  std::uint64_t key = 0;  ///< hash of its affinity key, or of its id
  bool sticky = false;    ///< whether key tells where it is served quickly
  Duration time_left{0};
  Duration caller_timeout{0};      ///< that the caller sent with it
  std::set<std::string> excluded;  ///< ids already tried
  VersionRulePtr versions;         ///< where it may go; null: to any
  double shift_position = 0;       ///< of the caller in shifts, in [0, 1)

  Urgency urgency() const {
    const auto of_account = account ? account->priority : std::nullopt;
    return {of_account.value_or(route->priority), route->priority};
  }

  /// @brief Whether it may run, or its answer be, in a region: what the route
  /// allows and its account as well.
  bool MayRunIn(const std::string& region) const {
    return IsAmong(route->allowed_regions, region) &&
           (account == nullptr || IsAmong(account->allowed_regions, region));
  }

  /// @brief Until its caller gives up; a route may hold it for less.
  Duration CallerTimeLeft() const {
    const Duration allowed = std::min(route->timeout, caller_timeout);
    return caller_timeout - (allowed - time_left);
  }

 private:
  // No regions named: all of them.
  static bool IsAmong(const std::vector<std::string>& regions,
                      const std::string& region) {
    return regions.empty() ||
           std::find(regions.begin(), regions.end(), region) != regions.end();
  }
};

/// @brief Why there is no upstream for a request.
/// @ingroup routing
enum class PickFailure {
  kNone,
  kNoUpstream,        ///< none is listed, open and thought alive
  kTooLate,           ///< none would answer within the time left
  kOverloaded,        ///< it would wait so long that it is late: come back
  kShiftCap,          ///< to leave the region would pass a shift's cap
  kHostStops,         ///< this host ends too soon: another one takes it
  kCrashesUpstreams,  ///< upstreams that ran it have ended: none gets it
};

/// @brief Stable lower-case name of a failure, as logs and metrics tell it.
/// @ingroup routing
const char* ReasonOf(PickFailure failure);

/// @brief The choice, with the inputs that decided it.
/// @ingroup routing
struct Pick {
  UpstreamPtr upstream;  ///< null: see failure
  PickFailure failure = PickFailure::kNone;
  Duration expected_latency{0};  ///< until the answer
  Duration expected_wait{0};     ///< of it, before a slot is free
  Duration expected_latency_if_cold{
      0};                   ///< until the answer, where its key is new
  Duration retry_after{0};  ///< of a failure: when there may be room
  bool warm = false;
  WarmthEvidence warmth_evidence;  ///< of the upstream for the key
  bool leaves_region = false;
  int candidates = 0;
  int passed_over = 0;  ///< upstreams whose bounded rate had no room
};

}  // namespace pathcleat
