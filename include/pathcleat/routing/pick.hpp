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

/// @brief A request for which an upstream is to be chosen.
/// @ingroup routing
struct PickRequest {
  const Route* route = nullptr;
  const Account* account = nullptr;  ///< null: the caller has none
  std::string service;
  std::uint64_t key = 0;  ///< hash of the affinity key, or of the request id
  bool sticky = false;    ///< whether it is served faster where its key is warm
  Duration time_left{0};  ///< within the timeouts of route and caller
  Duration caller_timeout{0};      ///< as the caller sent it
  std::set<std::string> excluded;  ///< ids of upstreams already tried
  VersionRulePtr versions;         ///< versions it may go to; null: any
  double shift_position = 0;  ///< of the caller in traffic shifts, in [0, 1)

  Urgency urgency() const {
    const auto account_priority = account ? account->priority : std::nullopt;
    return {account_priority.value_or(route->priority), route->priority};
  }

  /// @brief Whether the request may run, or its answer be stored, in a region:
  /// both the route and the account must allow it.
  bool MayRunIn(const std::string& region) const {
    return AllowsRegion(route->allowed_regions, region) &&
           (account == nullptr ||
            AllowsRegion(account->allowed_regions, region));
  }

  /// @brief Time until the caller gives up. The route's timeout may be shorter.
  Duration CallerTimeLeft() const {
    const Duration allowed = std::min(route->timeout, caller_timeout);
    return caller_timeout - (allowed - time_left);
  }

 private:
  // An empty list allows all regions.
  static bool AllowsRegion(const std::vector<std::string>& allowed_regions,
                           const std::string& region) {
    return allowed_regions.empty() ||
           std::find(allowed_regions.begin(), allowed_regions.end(), region) !=
               allowed_regions.end();
  }
};

/// @brief Why no upstream was chosen for a request.
/// @ingroup routing
enum class PickFailure {
  kNone,
  kNoUpstream,        ///< none is listed, open and presumed alive
  kTooLate,           ///< none would answer within the time left
  kOverloaded,        ///< the queue would make it late: the caller should retry
  kShiftCap,          ///< leaving the region would exceed a shift's cap
  kHostStops,         ///< this host stops too soon: another host serves it
  kCrashesUpstreams,  ///< upstreams that ran it crashed: it is sent to none
};

/// @brief Stable lower-case name of a failure, as used in logs and metrics.
/// @ingroup routing
const char* ReasonOf(PickFailure failure);

/// @brief The result of a choice, with the inputs that decided it.
/// @ingroup routing
struct Pick {
  UpstreamPtr upstream;  ///< null: see failure
  PickFailure failure = PickFailure::kNone;
  Duration expected_latency{0};  ///< until the answer
  Duration expected_wait{0};     ///< part of it until a slot is free
  Duration expected_latency_if_cold{
      0};  ///< until the answer, where its key is cold
  Duration retry_after{
      0};  ///< after a failure: delay until there may be capacity
  bool warm = false;
  WarmthEvidence warmth_evidence;  ///< of the upstream for the key
  bool leaves_region = false;
  int candidates = 0;
  int passed_over = 0;  ///< upstreams whose rate bound was used up
};

}  // namespace pathcleat
