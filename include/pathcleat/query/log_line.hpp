// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

#include "pathcleat/core/hybrid_clock.hpp"

namespace pathcleat {

/// @brief One event parsed from a log line.
/// @ingroup query
struct LogLine {
  HybridTime time;
  std::string name;  ///< name of the event, such as "request-sent"
  std::string host;
  /// All fields of the event, each as text.
  std::map<std::string, std::string> fields;
  std::string text;  ///< the event's JSON, without a log collector's prefix

  /// @brief Text of a field; empty if the event does not have the field.
  std::string Field(const std::string& field) const;

  /// @brief A field as a number; 0 if the field is missing or not a number.
  std::int64_t Number(const std::string& field) const;
};

/// @brief Whether a line says that an upstream leaves or is off the list.
/// @ingroup query
bool SaysUpstreamLeaves(const LogLine& line);

/// @brief Merged log of several hosts.
/// @ingroup query
struct MergedLog {
  std::vector<LogLine> lines;  ///< sorted by hybrid time after SortByTime()
  int unreadable = 0;  ///< number of non-empty lines that are not events
};

/// @brief Appends log lines to `log`. The lines may be in any order and come
/// from several hosts. Text that a log collector puts before the event on a
/// line is skipped.
/// @ingroup query
void ReadLog(std::istream& stream, MergedLog& log);

/// @brief Sorts the lines of all hosts by hybrid time.
/// @ingroup query
void SortByTime(MergedLog& log);

}  // namespace pathcleat
