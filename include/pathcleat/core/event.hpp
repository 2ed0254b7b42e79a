// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "pathcleat/core/event_field.hpp"
#include "pathcleat/core/hybrid_clock.hpp"
#include "pathcleat/core/log_class.hpp"

namespace pathcleat {

/// @brief Numbers of the events; docs/EVENTS.md describes each event.
/// @ingroup core
enum class EventCode : std::uint16_t {
  kHostStarted = 1001,
  kHostLeaving = 1002,
  kHostStopped = 1003,
  kHostStoodStill = 1004,
  kSettingsFault = 1005,
  kSettingsReloaded = 1006,
  kHostIsolated = 1007,
  kHostReconnected = 1008,
  kLoopSlow = 1009,
  kMemoryUsedUp = 1010,
  kMemoryAvailable = 1011,
  kPortTaken = 1012,
  kPortsOpened = 1013,
  kHandlerFailed = 1014,
  kRequestRefused = 1101,
  kRequestUnknown = 1102,
  kRequestRetried = 1103,
  kCallerLeft = 1105,
  kCallerInputRejected = 1106,
  kKeyRefused = 1107,
  kRequestTaken = 1110,
  kRequestSent = 1111,
  kAttemptFailed = 1112,
  kAttemptNotRun = 1113,
  kRequestAnswered = 1114,
  kConnectionOpened = 1115,
  kRequestSuspected = 1116,
  kRequestForwarded = 1117,
  kForwardTaken = 1118,
  kForwardFailed = 1119,
  kAnswerBegun = 1120,
  kRequestGivenUp = 1121,
  kKeyReplayed = 1201,
  kKeyInProgress = 1202,
  kKeyWriteFailed = 1203,
  kUpstreamLeaving = 1301,
  kUpstreamDown = 1302,
  kUpstreamUp = 1303,
  kUpstreamGone = 1305,
  kDomainDrained = 1306,
  kRequestBlocked = 1307,
  kRequestUnblocked = 1308,
  kAnswerFieldUnknown = 1309,
  kUpstreamLimited = 1310,
  kUpstreamLimitEnded = 1311,
  kUpstreamLimitUnreadable = 1312,
  kUpstreamAnnouncedLeaving = 1313,
  kUpstreamLeavingRevoked = 1314,
  kUpstreamBackoff = 1315,
  kUpstreamBackoffEnded = 1316,
  kRetryAfterUnreadable = 1317,
  kUpstreamRelisted = 1318,
  kPeerSilent = 1407,
  kPeerHeard = 1408,
  kPlatformDown = 1501,
  kPlatformUp = 1502,
  kWatchUnanswered = 1503,
  kStoreAnswerUnreadable = 1504,
  kConfigApplied = 1601,
  kConfigConflict = 1602,
  kCommandAccepted = 1603,
  kShiftStep = 1604,
  kShiftHeld = 1605,
  kTakenFromPeer = 1606,
  kTransferFailed = 1607,
  kRolloutStep = 1608,
  kRolloutTold = 1609,
  kRolloutHeld = 1610,
  kRolloutResumed = 1611,
  kPeerRejected = 1701,
  kOperatorRejected = 1702,
  kLogDropped = 1901,
};

/// @brief How urgently an operator should respond to an event.
/// @ingroup core
enum class Severity { kInfo, kWarning, kAlarm };

/// @brief Name, severity and class of one event code.
/// @ingroup core
struct EventInfo {
  EventCode code;
  const char* name;
  Severity severity;
  LogClass log_class;
  const char* subject_field;  ///< JSON key for Event::subject
};

/// @brief Lists all event codes, sorted by number.
/// @ingroup core
std::span<const EventInfo> EventCatalogue();

/// @brief Looks up the catalogue entry of an event code.
/// @ingroup core
const EventInfo& EventInfoOf(EventCode code);

/// @brief One event, as written to the log and returned by /v1/timeline.
/// @ingroup core
struct Event {
  HybridTime time;
  EventCode code = EventCode::kHostStarted;
  std::string host;     ///< host of the process that recorded the event
  std::string subject;  ///< e.g. a request id; its kind depends on the code
  std::string text;     ///< description in a sentence, or empty
  EventFields fields;   ///< inputs of a decision and its outcome
};

/// @brief Formats an event code, e.g. "PC1001".
/// @ingroup core
std::string ToString(EventCode code);

/// @brief Formats an event for a person: its name, text and fields.
/// @ingroup core
std::string ToText(const Event& event);

/// @brief Formats an event as one line of JSON, for the log and for
/// /v1/timeline.
/// @ingroup core
std::string ToJsonLine(const Event& event);

}  // namespace pathcleat
