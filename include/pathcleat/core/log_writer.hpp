// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "pathcleat/core/log_buffer.hpp"

namespace pathcleat {

/// @brief Writes the log to a descriptor from the event loop, in pieces that
/// it takes without blocking. A reader that stands still costs lines, never
/// time.
/// @ingroup core
class LogWriter {
 public:
  /// @param descriptor open for writing; it stays the caller's.
  /// @param capacity bytes that may wait for a slow reader.
  LogWriter(boost::asio::io_context& loop,
            int descriptor,
            std::size_t capacity);
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// @brief Sends what log4cplus logs here from now on.
  void Attach();

  /// @brief Takes a line.
  void Write(LogClass log_class, std::string_view line);

  /// @brief Writes what can be written now.
  void Flush();

  /// @brief Lines dropped since the start, by class.
  const LogCounts& dropped() const { return buffer_.dropped(); }

  /// @brief Told, as soon as lines pass again, how many were dropped.
  void OnDropped(std::function<void(const LogCounts&)> handler) {
    on_dropped_ = std::move(handler);
  }

 private:
  void Arm();
  void TellDropped();

  int descriptor_;
  LogBuffer buffer_;
  boost::asio::steady_timer timer_;
  bool armed_ = false;
  LogCounts told_{};
  std::function<void(const LogCounts&)> on_dropped_;
};

}  // namespace pathcleat
