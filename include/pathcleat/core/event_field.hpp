// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief One typed field of an event: an input or outcome of a decision.
/// @ingroup core
struct EventField {
  using Value = std::variant<std::int64_t, double, bool, std::string>;

  const char* name;
  Value value;
};

using EventFields = std::vector<EventField>;

/// @brief Field names. A quantity has the same name in every event.
/// @ingroup core
namespace field {
constexpr const char* kAccount = "account";
/// How long after the begin of a planned stop; negative: before it.
constexpr const char* kAfterStopMs = "after_stop_ms";
constexpr const char* kAddress = "address";
constexpr const char* kAgeMs = "age_ms";
constexpr const char* kAnswerBytes = "answer_bytes";
constexpr const char* kAnswerMs = "answer_ms";
constexpr const char* kAttempt = "attempt";
constexpr const char* kBodyBytes = "body_bytes";
constexpr const char* kBytes = "bytes";
constexpr const char* kCaller = "caller";
constexpr const char* kCandidates = "candidates";
constexpr const char* kConfigVersion = "config_version";
constexpr const char* kConnectionBytes = "connection_bytes";
constexpr const char* kContactAgeMs = "contact_age_ms";
constexpr const char* kCrashes = "crashes";
constexpr const char* kDecodeMs = "decode_ms";
constexpr const char* kDetail = "detail";
constexpr const char* kDigest = "digest";
constexpr const char* kDomain = "domain";
constexpr const char* kDroppedFailures = "dropped_failures";
constexpr const char* kDroppedRequests = "dropped_requests";
constexpr const char* kDroppedStates = "dropped_states";
constexpr const char* kElapsedMs = "elapsed_ms";
constexpr const char* kEntryPoint = "where";
constexpr const char* kExpectedMs = "expected_ms";
constexpr const char* kFailedDomains = "failed_domains";
constexpr const char* kFailedTrials = "failed_trials";
constexpr const char* kFailedUpstreams = "failed_upstreams";
constexpr const char* kFleetDemandPerSecond = "fleet_demand_per_second";
constexpr const char* kFrom = "from";
constexpr const char* kGivenUp = "given_up";
constexpr const char* kAffinityKey = "affinity_key";
constexpr const char* kKept = "kept";
constexpr const char* kKnownMs = "known_ms";
constexpr const char* kLastSendMs = "last_send_ms";
/// How long a watch of the store has been in flight.
constexpr const char* kWatchMs = "watch_ms";
/// How long ago the store last answered this host, or any host of the fleet.
constexpr const char* kAnswerAgeMs = "answer_age_ms";
constexpr const char* kFleetAnswerAgeMs = "fleet_answer_age_ms";
constexpr const char* kLatencyMs = "latency_ms";
constexpr const char* kLeftMs = "left_ms";
constexpr const char* kLimitBytes = "limit_bytes";
constexpr const char* kLimitPerSecond = "limit_per_second";
constexpr const char* kListAgeMs = "list_age_ms";
constexpr const char* kListVersion = "list_version";
constexpr const char* kListener = "listener";
constexpr const char* kMethod = "method";
constexpr const char* kOrder = "order";
constexpr const char* kOutcome = "outcome";
constexpr const char* kPassedOver = "passed_over";
constexpr const char* kPath = "path";
constexpr const char* kPeer = "peer";
constexpr const char* kPhase = "phase";
constexpr const char* kProbes = "probes";
constexpr const char* kReason = "reason";
constexpr const char* kRefused = "refused";
constexpr const char* kRenewed = "renewed";
constexpr const char* kRepeatable = "repeatable";
constexpr const char* kReplaces = "replaces";
constexpr const char* kRequest = "request";
constexpr const char* kRequestBytes = "request_bytes";
constexpr const char* kRetryAfter = "retry_after";
constexpr const char* kRetryAfterMs = "retry_after_ms";
constexpr const char* kRoute = "route";
constexpr const char* kSendMs = "send_ms";
constexpr const char* kService = "service";
constexpr const char* kShare = "share";
constexpr const char* kStatus = "status";
constexpr const char* kStep = "step";
constexpr const char* kTargetMs = "target_ms";
constexpr const char* kTask = "task";
constexpr const char* kTransferMs = "transfer_ms";
constexpr const char* kUnlogged = "unlogged";
constexpr const char* kUpstream = "upstream";
constexpr const char* kVersion = "version";
constexpr const char* kVersionRule = "version_rule";
constexpr const char* kWaitMs = "wait_ms";
constexpr const char* kWarm = "warm";
}  // namespace field

/// @brief Creates an integer field.
template <class Number>
EventField IntegerField(const char* name, Number value) {
  return {name, static_cast<std::int64_t>(value)};
}

/// @brief Creates a field with a duration in whole milliseconds, rounded down.
inline EventField MillisecondsField(const char* name, Duration value) {
  constexpr std::int64_t kMicros = 1'000;
  return {name, static_cast<std::int64_t>(value.count()) / kMicros};
}

}  // namespace pathcleat
