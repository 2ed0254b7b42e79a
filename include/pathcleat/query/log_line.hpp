// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

#include "pathcleat/core/hybrid_clock.hpp"

namespace pathcleat {

/// @brief One event as read from a log.
/// @ingroup query
struct LogLine {
  HybridTime time;
  std::string name;  ///< of the event, such as "request-sent"
  std::string host;
  /// The event's other fields, each as text.
  std::map<std::string, std::string> fields;
  std::string text;  ///< the line as it was, without what stood before it

  /// @brief A field's text; empty if it has none.
  std::string Field(const std::string& field) const;

  /// @brief A field as a number; 0 if it is none.
  std::int64_t Number(const std::string& field) const;
};

/// @brief The logs of several hosts as one.
/// @ingroup query
struct MergedLog {
  std::vector<LogLine> lines;  ///< by hybrid time
  int unreadable = 0;          ///< lines that are no events
};

/// @brief Reads log lines, in any order, of any hosts. What a collector puts
/// before an event on its line is passed over.
/// @ingroup query
void ReadLog(std::istream& stream, MergedLog& into);

/// @brief Puts the lines of all hosts into one order.
/// @ingroup query
void SortByTime(MergedLog& lines);

}  // namespace pathcleat
