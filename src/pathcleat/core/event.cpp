// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/event.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace pathcleat {
namespace {

using enum EventCode;
using enum Severity;

constexpr std::array kCatalogue = {
    EventInfo{kHostStarted, "host-started", kInfo},
    EventInfo{kHostLeaving, "host-leaving", kInfo},
    EventInfo{kHostStopped, "host-stopped", kInfo},
    EventInfo{kSettingsFault, "settings-fault", kAlarm},
    EventInfo{kSettingsReloaded, "settings-reloaded", kInfo},
    EventInfo{kRequestRefused, "request-refused", kInfo},
    EventInfo{kRequestUnknown, "request-unknown", kWarning},
    EventInfo{kRequestRetried, "request-retried", kInfo},
    EventInfo{kCallerLeft, "caller-left", kInfo},
    EventInfo{kCallerInputRejected, "caller-input-rejected", kInfo},
    EventInfo{kKeyReplayed, "key-replayed", kInfo},
    EventInfo{kKeyInProgress, "key-in-progress", kInfo},
    EventInfo{kKeyWriteFailed, "key-write-failed", kWarning},
    EventInfo{kUpstreamLeaving, "upstream-leaving", kInfo},
    EventInfo{kUpstreamDown, "upstream-down", kWarning},
    EventInfo{kUpstreamUp, "upstream-up", kInfo},
    EventInfo{kUpstreamGone, "upstream-gone", kInfo},
    EventInfo{kDomainDrained, "domain-drained", kInfo},
    EventInfo{kPeerSilent, "peer-silent", kWarning},
    EventInfo{kPeerHeard, "peer-heard", kInfo},
    EventInfo{kPlatformDown, "platform-down", kAlarm},
    EventInfo{kPlatformUp, "platform-up", kInfo},
    EventInfo{kConfigApplied, "config-applied", kInfo},
    EventInfo{kConfigConflict, "config-conflict", kInfo},
    EventInfo{kCommandAccepted, "command-accepted", kInfo},
    EventInfo{kShiftStep, "shift-step", kInfo},
    EventInfo{kShiftHeld, "shift-held", kWarning},
    EventInfo{kTakenFromPeer, "taken-from-peer", kInfo},
    EventInfo{kPeerRejected, "peer-rejected", kAlarm},
    EventInfo{kOperatorRejected, "operator-rejected", kAlarm},
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

const EventInfo& InfoOf(EventCode code) {
  const auto* found =
      std::find_if(kCatalogue.begin(), kCatalogue.end(),
                   [code](const EventInfo& info) { return info.code == code; });
  return *found;
}

std::string ToString(EventCode code) {
  return "PC" + std::to_string(static_cast<int>(code));
}

std::string ToJsonLine(const Event& event) {
  const EventInfo& info = InfoOf(event.code);
  nlohmann::ordered_json line;
  line["time"] = ToString(event.time);
  line["code"] = ToString(event.code);
  line["name"] = info.name;
  line["severity"] = NameOf(info.severity);
  line["host"] = event.host;
  line["subject"] = event.subject;
  line["text"] = event.text;
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace pathcleat
