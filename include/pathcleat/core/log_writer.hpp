// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "pathcleat/core/log_buffer.hpp"

namespace pathcleat {

/// @brief Writes the log to a descriptor from the event loop, in chunks that
/// can be written without blocking. If the reader of the log stalls, lines are
/// dropped and the event loop continues.
/// @ingroup core
class LogWriter {
 public:
  /// @param descriptor open for writing; not closed by this object.
  /// @param capacity bytes that are buffered for a slow reader.
  LogWriter(boost::asio::io_context& loop,
            int descriptor,
            std::size_t capacity);
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// @brief Replaces all log4cplus appenders by this writer.
  void Attach();

  /// @brief Buffers a line and schedules a Flush.
  void Write(LogClass log_class, std::string_view line);

  /// @brief Writes as many buffered lines as possible without blocking.
  void Flush();

  /// @brief Number of lines dropped since construction, by class.
  const LogCounts& dropped() const { return buffer_.dropped(); }

  /// @brief Sets the handler that receives the number of lines dropped since
  /// its last call, by class. It is called when all buffered lines are written.
  void OnDropped(std::function<void(const LogCounts&)> handler) {
    on_dropped_ = std::move(handler);
  }

 private:
  void ScheduleFlush();
  void ReportDropped();

  int descriptor_;
  LogBuffer buffer_;
  boost::asio::steady_timer timer_;
  bool flush_scheduled_ = false;
  LogCounts reported_drops_{};
  std::function<void(const LogCounts&)> on_dropped_;
};

}  // namespace pathcleat
