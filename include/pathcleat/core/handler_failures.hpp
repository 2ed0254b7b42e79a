// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

#include "pathcleat/core/event_log.hpp"
#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Where work enters the event loop of a host. Each place has an error
/// boundary: docs/design/error-boundaries.md lists them.
/// @ingroup core
enum class EntryPoint : std::uint8_t {
  kRequest,      ///< the handler of a request that was read
  kRequestStep,  ///< a later step of a request in flight: a callback or a timer
  kUpstreamAnswer,  ///< what this host learns from an answer or its head
  kConnection,      ///< reading and writing at a connection of a caller
  kListener,        ///< accepting a connection, and the sweep of connections
  kDatagram,        ///< a datagram of another host
  kPeerTick,        ///< the periodic messages to other hosts
  kTick,            ///< the periodic work of the host
  kReload,          ///< new settings
  kStop,            ///< a step of the planned stop
  kEventLoop,       ///< anything else: the last boundary
};

/// @brief Name of an entry point in the log and in the metrics.
/// @ingroup core
const char* ToString(EntryPoint where);

/// @brief Runs work inside error boundaries: an exception ends the piece of
/// work that threw it, is counted and logged, and goes no further.
/// @ingroup core
class HandlerFailures {
 public:
  static constexpr std::size_t kEntryPointCount =
      static_cast<std::size_t>(EntryPoint::kEventLoop) + 1;
  using Counts = std::array<std::uint64_t, kEntryPointCount>;

  explicit HandlerFailures(EventLog& events) : events_(events) {}

  /// @brief Runs a step and contains its exception.
  /// @param subject request, peer or part of the host that the step works for.
  /// @return whether the step ended without an exception.
  template <class Step>
  bool Run(EntryPoint where, const std::string& subject, Step&& step) {
    try {
      std::forward<Step>(step)();
      return true;
    } catch (...) {
      Record(where, subject);
      return false;
    }
  }

  /// @brief Failures since the start of the process, by EntryPoint.
  const Counts& counts() const { return counts_; }

 private:
  /// @brief Counts the exception that is being handled and logs it. Neither
  /// may fail for want of memory, so an event that can't be made is left out.
  void Record(EntryPoint where, const std::string& subject) noexcept;
  void Log(EntryPoint where, const std::string& subject, const char* what);
  bool MayLog(Time now);

  EventLog& events_;
  Counts counts_{};
  Time second_started_at_;
  int logged_in_second_ = 0;
  std::int64_t unlogged_ = 0;  ///< failures since the last event
};

}  // namespace pathcleat
