// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "pathcleat/core/histogram.hpp"
#include "pathcleat/core/store_outcome.hpp"

namespace pathcleat {

/// @brief Shortest time between two reports of unreadable answers to one verb.
/// @ingroup store
constexpr Duration kUnreadableReportInterval{10'000'000};

/// @brief Statistics of a host's calls to the platform's store.
/// @ingroup store
struct StoreCallStats {
  /// Number of calls by verb and outcome.
  std::map<std::pair<std::string, StoreOutcome>, std::uint64_t> calls;
  Histogram latency;  ///< of calls other than watches
  /// Connections closed because no bytes arrived.
  std::uint64_t silent_connections = 0;
  /// Number of answers whose shape the protocol does not have, by verb.
  std::map<std::string, std::uint64_t> unreadable_answers;
  /// Called for an unreadable answer with the verb and what is wrong, at most
  /// once in kUnreadableReportInterval for each verb; may be empty.
  std::function<void(const std::string& verb, const std::string& reason)>
      on_unreadable;

  /// @brief Counts a completed call.
  /// @param is_watch whether the call waits for changes.
  void Record(const std::string& verb,
              StoreOutcome outcome,
              Duration duration,
              bool is_watch) {
    ++calls[{verb, outcome}];
    if (!is_watch) {
      latency.Add(duration);
    }
  }

  /// @brief Counts an answer whose shape the protocol does not have, and
  /// reports it.
  /// @param reason which field is wrong and how.
  void RecordUnreadable(const std::string& verb,
                        const std::string& reason,
                        Time now) {
    ++unreadable_answers[verb];
    const auto last = last_report_.find(verb);
    const bool is_due = last == last_report_.end() ||
                        now - last->second >= kUnreadableReportInterval;
    if (on_unreadable && is_due) {
      last_report_[verb] = now;
      on_unreadable(verb, reason);
    }
  }

 private:
  std::map<std::string, Time> last_report_;
};

}  // namespace pathcleat
