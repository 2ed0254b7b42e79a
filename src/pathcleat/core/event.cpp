// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/event.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <sstream>

namespace pathcleat {
namespace {

using enum EventCode;
using enum LogClass;
using enum Severity;

constexpr std::array kCatalogue = {
    EventInfo{kHostStarted, "host-started", kInfo, kState, "process"},
    EventInfo{kHostLeaving, "host-leaving", kInfo, kState, "process"},
    EventInfo{kHostStopped, "host-stopped", kInfo, kState, "process"},
    EventInfo{kHostStoodStill, "host-stood-still", kWarning, kState, "process"},
    EventInfo{kSettingsFault, "settings-fault", kAlarm, kState, "key"},
    EventInfo{kSettingsReloaded, "settings-reloaded", kInfo, kState, "process"},
    EventInfo{kHostIsolated, "host-isolated", kAlarm, kState, "process"},
    EventInfo{kHostReconnected, "host-reconnected", kInfo, kState, "process"},
    EventInfo{kLoopSlow, "loop-slow", kWarning, kState, "process"},
    EventInfo{kMemoryUsedUp, "memory-used-up", kWarning, kState, "process"},
    EventInfo{kMemoryAvailable, "memory-available", kInfo, kState, "process"},
    EventInfo{kPortTaken, "port-taken", kWarning, kState, "process"},
    EventInfo{kPortsOpened, "ports-opened", kInfo, kState, "process"},
    EventInfo{kHandlerFailed, "handler-failed", kAlarm, kState, "subject"},
    EventInfo{kRequestRefused, "request-refused", kInfo, kFailure, "request"},
    EventInfo{kRequestUnknown, "request-unknown", kWarning, kFailure,
              "request"},
    EventInfo{kRequestRetried, "request-retried", kInfo, kFailure, "request"},
    EventInfo{kCallerLeft, "caller-left", kInfo, kFailure, "request"},
    EventInfo{kCallerInputRejected, "caller-input-rejected", kInfo, kFailure,
              "caller"},
    EventInfo{kKeyRefused, "key-refused", kInfo, kFailure, "request"},
    EventInfo{kRequestTaken, "request-taken", kInfo, kRequest, "request"},
    EventInfo{kRequestSent, "request-sent", kInfo, kRequest, "request"},
    EventInfo{kAttemptFailed, "attempt-failed", kInfo, kFailure, "request"},
    EventInfo{kAttemptNotRun, "attempt-not-run", kInfo, kFailure, "request"},
    EventInfo{kRequestAnswered, "request-answered", kInfo, kRequest, "request"},
    EventInfo{kConnectionOpened, "connection-opened", kInfo, kRequest,
              "request"},
    EventInfo{kRequestSuspected, "request-suspected", kInfo, kFailure,
              "request"},
    EventInfo{kRequestForwarded, "request-forwarded", kInfo, kRequest,
              "request"},
    EventInfo{kForwardTaken, "forward-taken", kInfo, kRequest, "request"},
    EventInfo{kForwardFailed, "forward-failed", kInfo, kFailure, "request"},
    EventInfo{kAnswerBegun, "answer-begun", kInfo, kRequest, "request"},
    EventInfo{kRequestGivenUp, "request-given-up", kWarning, kFailure,
              "request"},
    EventInfo{kKeyReplayed, "key-replayed", kInfo, kFailure, "key"},
    EventInfo{kKeyInProgress, "key-in-progress", kInfo, kFailure, "key"},
    EventInfo{kKeyWriteFailed, "key-write-failed", kWarning, kFailure, "key"},
    EventInfo{kUpstreamLeaving, "upstream-leaving", kInfo, kState, "upstream"},
    EventInfo{kUpstreamDown, "upstream-down", kWarning, kState, "upstream"},
    EventInfo{kUpstreamUp, "upstream-up", kInfo, kState, "upstream"},
    EventInfo{kUpstreamGone, "upstream-gone", kInfo, kState, "upstream"},
    EventInfo{kDomainDrained, "domain-drained", kInfo, kState, "domain"},
    EventInfo{kRequestBlocked, "request-blocked", kAlarm, kState, "digest"},
    EventInfo{kRequestUnblocked, "request-unblocked", kInfo, kState, "digest"},
    EventInfo{kAnswerFieldUnknown, "answer-field-unknown", kInfo, kState,
              "upstream"},
    EventInfo{kUpstreamLimited, "upstream-limited", kWarning, kState,
              "upstream"},
    EventInfo{kUpstreamLimitEnded, "upstream-limit-ended", kInfo, kState,
              "upstream"},
    EventInfo{kUpstreamLimitUnreadable, "upstream-limit-unreadable", kWarning,
              kState, "upstream"},
    EventInfo{kUpstreamAnnouncedLeaving, "upstream-announced-leaving", kInfo,
              kState, "upstream"},
    EventInfo{kUpstreamLeavingRevoked, "upstream-leaving-revoked", kInfo,
              kState, "upstream"},
    EventInfo{kUpstreamBackoff, "upstream-backoff", kWarning, kState,
              "upstream"},
    EventInfo{kUpstreamBackoffEnded, "upstream-backoff-ended", kInfo, kState,
              "upstream"},
    EventInfo{kRetryAfterUnreadable, "retry-after-unreadable", kWarning, kState,
              "upstream"},
    EventInfo{kUpstreamRelisted, "upstream-relisted", kInfo, kState,
              "upstream"},
    EventInfo{kPeerSilent, "peer-silent", kWarning, kState, "peer"},
    EventInfo{kPeerHeard, "peer-heard", kInfo, kState, "peer"},
    EventInfo{kPlatformDown, "platform-down", kAlarm, kState, "topic"},
    EventInfo{kPlatformUp, "platform-up", kInfo, kState, "topic"},
    EventInfo{kWatchUnanswered, "watch-unanswered", kWarning, kState, "topic"},
    EventInfo{kStoreAnswerUnreadable, "store-answer-unreadable", kWarning,
              kState, "call"},
    EventInfo{kConfigApplied, "config-applied", kInfo, kState, "topic"},
    EventInfo{kConfigConflict, "config-conflict", kInfo, kState, "command"},
    EventInfo{kCommandAccepted, "command-accepted", kInfo, kState, "command"},
    EventInfo{kShiftStep, "shift-step", kInfo, kState, "service"},
    EventInfo{kShiftHeld, "shift-held", kWarning, kState, "service"},
    EventInfo{kTakenFromPeer, "taken-from-peer", kInfo, kState, "peer"},
    EventInfo{kTransferFailed, "transfer-failed", kWarning, kState, "peer"},
    EventInfo{kRolloutStep, "rollout-step", kInfo, kState, "service"},
    EventInfo{kRolloutTold, "rollout-told", kInfo, kState, "service"},
    EventInfo{kRolloutHeld, "rollout-held", kInfo, kState, "service"},
    EventInfo{kRolloutResumed, "rollout-resumed", kInfo, kState, "service"},
    EventInfo{kPeerRejected, "peer-rejected", kAlarm, kState, "peer"},
    EventInfo{kOperatorRejected, "operator-rejected", kAlarm, kState, "caller"},
    EventInfo{kLogDropped, "log-dropped", kWarning, kState, "topic"},
};

const char* NameOf(Severity severity) {
  switch (severity) {
    case kInfo:
      return "info";
    case kWarning:
      return "warning";
    case kAlarm:
      return "alarm";
  }
  return "info";
}

}  // namespace

std::span<const EventInfo> EventCatalogue() {
  return kCatalogue;
}

const EventInfo& EventInfoOf(EventCode code) {
  const auto* found =
      std::find_if(kCatalogue.begin(), kCatalogue.end(),
                   [code](const EventInfo& info) { return info.code == code; });
  return *found;
}

std::string ToString(EventCode code) {
  return "PC" + std::to_string(static_cast<int>(code));
}

std::string ToText(const Event& event) {
  std::ostringstream text;
  text << EventInfoOf(event.code).name;
  if (!event.text.empty()) {
    text << ": " << event.text;
  }
  text << std::boolalpha;
  for (const EventField& field : event.fields) {
    text << " " << field.name << "=";
    std::visit([&text](const auto& value) { text << value; }, field.value);
  }
  return text.str();
}

std::string ToJsonLine(const Event& event) {
  const EventInfo& info = EventInfoOf(event.code);
  nlohmann::ordered_json line;
  line["time"] = ToString(event.time);
  line["code"] = ToString(event.code);
  line["name"] = info.name;
  line["severity"] = NameOf(info.severity);
  line["host"] = event.host;
  line[info.subject_field] = event.subject;
  if (!event.text.empty()) {
    line["text"] = event.text;
  }
  for (const EventField& field : event.fields) {
    std::visit([&](const auto& value) { line[field.name] = value; },
               field.value);
  }
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace pathcleat
