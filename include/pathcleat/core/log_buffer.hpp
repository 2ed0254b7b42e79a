// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "pathcleat/core/log_class.hpp"

namespace pathcleat {

/// @brief Bounded buffer of log lines that wait to be written. A new line is
/// dropped and counted if the buffer would exceed the share of the capacity for
/// its class: one half for kRequest, three quarters for kFailure, all for
/// kState. Not thread-safe.
/// @ingroup core
class LogBuffer {
 public:
  /// @param capacity size of the buffer in bytes.
  explicit LogBuffer(std::size_t capacity) : capacity_(capacity) {}

  /// @brief Appends a line and a line end, or drops the line if there is no
  /// capacity for its class.
  /// @param line without a line end.
  void Push(LogClass log_class, std::string_view line);

  /// @brief Returns the oldest buffered bytes, at most max_bytes of them.
  std::string_view Front(std::size_t max_bytes) const;

  /// @brief Removes the oldest bytes. The caller has already written them.
  void Pop(std::size_t bytes);

  bool IsEmpty() const { return written_bytes_ == bytes_.size(); }
  std::size_t size() const { return bytes_.size() - written_bytes_; }

  /// @brief Number of lines dropped since construction, by class.
  const LogCounts& dropped() const { return dropped_; }

 private:
  std::size_t capacity_;
  std::string bytes_;
  std::size_t written_bytes_ = 0;  ///< size of the written part of bytes_
  LogCounts dropped_{};
};

}  // namespace pathcleat
