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
  /// Whether the request runs faster on an upstream that is warm for its key.
  bool sticky = false;
  /// Time left until the request times out: the shorter of the route's timeout
  /// and the caller's timeout applies.
  Duration time_left{0};
  Duration caller_timeout{0};      ///< timeout that the caller sent
  std::set<std::string> excluded;  ///< ids of upstreams already tried
  VersionRulePtr versions;         ///< allowed versions of upstreams; null: any
  /// Position of the caller, in [0, 1), by which a shift decides whether to
  /// move the caller's requests.
  double shift_position = 0;

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
  kNone,        ///< no failure: an upstream was chosen
  kNoUpstream,  ///< no upstream is left that is listed, open, presumed alive
                ///< and allowed by rate bounds, link limits, version, region
  kTooLate,     ///< no upstream would answer within the time left
  kOverloaded,  ///< the queue would make the answer late; the caller should
                ///< retry
  kShiftCap,    ///< sending the request to another region would exceed the cap
                ///< of a shift
  kHostStops,  ///< this host stops too soon; the caller should retry at another
               ///< host
  kCrashesUpstreams,  ///< upstreams crashed while they ran the request, so it
                      ///< is sent to no other upstream
};

/// @brief Stable lower-case name of a failure, as used in logs and metrics.
/// @ingroup routing
const char* ReasonOf(PickFailure failure);

/// @brief The result of a choice, with the inputs that decided it.
/// @ingroup routing
struct Pick {
  UpstreamPtr upstream;  ///< null: see failure
  PickFailure failure = PickFailure::kNone;
  Duration expected_latency{0};  ///< expected time until the answer
  Duration expected_wait{0};  ///< part of expected_latency until a slot is free
  /// Expected time until the answer if the upstream is cold for the key.
  Duration expected_latency_if_cold{0};
  /// After a failure: delay after which the caller should retry, as there may
  /// be capacity by then.
  Duration retry_after{0};
  bool warm = false;  ///< whether the upstream is probably warm for the key
  WarmthEvidence warmth_evidence;  ///< why the upstream may be warm for the key
  /// Whether the upstream is in another region than this host.
  bool leaves_region = false;
  int candidates = 0;  ///< number of upstreams that were compared
  /// Number of upstreams skipped because they asked for it: they leave, want no
  /// requests for a time, or have a bounded rate of which this host's share was
  /// used up.
  int passed_over = 0;
};

}  // namespace pathcleat
