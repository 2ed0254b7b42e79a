// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "pathcleat/core/log_class.hpp"

namespace pathcleat {

/// @brief Bounded buffer of log lines that wait to be written. Lines of a lower
/// class are dropped earlier: ordinary requests once half of the capacity is in
/// use, failures once three quarters are. Dropped lines are counted. Not
/// thread-safe.
/// @ingroup core
class LogBuffer {
 public:
  /// @param capacity size of the buffer in bytes.
  explicit LogBuffer(std::size_t capacity) : capacity_(capacity) {}

  /// @brief Appends a line and a line end if there is capacity for its class;
  /// drops the line otherwise.
  /// @param line without a line end.
  void Push(LogClass log_class, std::string_view line);

  /// @brief The oldest buffered bytes, at most max_bytes of them.
  std::string_view Front(std::size_t max_bytes) const;

  /// @brief Removes the oldest bytes once they have been written.
  void Pop(std::size_t bytes);

  bool IsEmpty() const { return written_bytes_ == bytes_.size(); }
  std::size_t size() const { return bytes_.size() - written_bytes_; }

  /// @brief Number of lines dropped since construction, by class.
  const LogCounts& dropped() const { return dropped_; }

 private:
  std::size_t capacity_;
  std::string bytes_;
  std::size_t written_bytes_ = 0;  ///< at the start of bytes_
  LogCounts dropped_{};
};

}  // namespace pathcleat
