// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/handler_failures.hpp"

#include <exception>

namespace pathcleat {
namespace {

// A handler that fails for each request must not displace the other events.
constexpr int kMaxEventsPerSecond = 5;
constexpr Duration kSecond{1'000'000};

}  // namespace

const char* ToString(EntryPoint where) {
  switch (where) {
    case EntryPoint::kRequest:
      return "request";
    case EntryPoint::kRequestStep:
      return "request_step";
    case EntryPoint::kUpstreamAnswer:
      return "upstream_answer";
    case EntryPoint::kConnection:
      return "connection";
    case EntryPoint::kListener:
      return "listener";
    case EntryPoint::kDatagram:
      return "datagram";
    case EntryPoint::kPeerTick:
      return "peer_tick";
    case EntryPoint::kTick:
      return "tick";
    case EntryPoint::kReload:
      return "reload";
    case EntryPoint::kStop:
      return "stop";
    case EntryPoint::kEventLoop:
      return "event_loop";
  }
  return "";
}

void HandlerFailures::Record(EntryPoint where,
                             const std::string& subject) noexcept {
  ++counts_.at(static_cast<std::size_t>(where));
  ++unlogged_;
  try {
    try {
      throw;
    } catch (const std::exception& error) {
      Log(where, subject, error.what());
    } catch (...) {
      Log(where, subject, "an exception of unknown type");
    }
  } catch (...) {
    // Without memory no event can be made; the failure is counted.
    return;
  }
}

void HandlerFailures::Log(EntryPoint where,
                          const std::string& subject,
                          const char* what) {
  if (!MayLog(BootClock::now())) {
    return;
  }
  events_.Record(EventCode::kHandlerFailed, subject, what,
                 {{field::kEntryPoint, std::string(ToString(where))},
                  IntegerField(field::kUnlogged, unlogged_ - 1)});
  unlogged_ = 0;
}

bool HandlerFailures::MayLog(Time now) {
  if (now - second_started_at_ >= kSecond) {
    second_started_at_ = now;
    logged_in_second_ = 0;
  }
  return ++logged_in_second_ <= kMaxEventsPerSecond;
}

}  // namespace pathcleat
