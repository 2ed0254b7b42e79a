// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "pathcleat/core/log_class.hpp"

namespace pathcleat {

/// @brief Lines that wait to be written, as many as a bound allows. Lines of
/// lower classes find no room sooner: half of the bound for ordinary requests,
/// three quarters for failures. What finds none is counted. Not thread-safe.
/// @ingroup core
class LogBuffer {
 public:
  /// @param capacity bytes that may wait.
  explicit LogBuffer(std::size_t capacity) : capacity_(capacity) {}

  /// @brief Takes a line, without its end, if there is room.
  void Push(LogClass log_class, std::string_view line);

  /// @brief The oldest bytes that wait, at most so many.
  std::string_view Front(std::size_t most) const;

  /// @brief The oldest bytes are written.
  void Pop(std::size_t bytes);

  bool IsEmpty() const { return written_ == bytes_.size(); }
  std::size_t size() const { return bytes_.size() - written_; }

  /// @brief Lines dropped since the start, by class.
  const LogCounts& dropped() const { return dropped_; }

 private:
  std::size_t capacity_;
  std::string bytes_;
  std::size_t written_ = 0;  ///< of bytes_, from its start
  LogCounts dropped_{};
};

}  // namespace pathcleat
