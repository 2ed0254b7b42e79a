// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/log_writer.hpp"

#include <limits.h>
#include <log4cplus/appender.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <utility>

#include "pathcleat/core/event_log.hpp"

namespace pathcleat {
namespace {

// Delay from the first buffered line to the write, which gathers several lines
// into one write.
constexpr std::chrono::milliseconds kFlushDelay{100};

// POSIX: a pipe that polls as writable accepts PIPE_BUF bytes without blocking.
constexpr std::size_t kMaxWriteBytes = PIPE_BUF;

bool IsReady(int descriptor) {
  pollfd entry{descriptor, POLLOUT, 0};
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

// Passes the lines of log4cplus to a LogWriter.
class WriterAppender : public log4cplus::Appender {
 public:
  explicit WriterAppender(LogWriter& writer) : writer_(writer) {}
  ~WriterAppender() override { destructorImpl(); }
  void close() override { closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    writer_.Write(LogClassOfLogger(event.getLoggerName()), event.getMessage());
  }

 private:
  LogWriter& writer_;
};

}  // namespace

LogWriter::LogWriter(boost::asio::io_context& loop,
                     int descriptor,
                     std::size_t capacity)
    : descriptor_(descriptor), buffer_(capacity), timer_(loop) {}

LogWriter::~LogWriter() {
  log4cplus::Logger::getRoot().removeAllAppenders();
}

void LogWriter::Attach() {
  auto root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(log4cplus::SharedAppenderPtr(new WriterAppender(*this)));
  root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

void LogWriter::Write(LogClass log_class, std::string_view line) {
  buffer_.Push(log_class, line);
  ScheduleFlush();
}

void LogWriter::ScheduleFlush() {
  if (std::exchange(flush_scheduled_, true)) {
    return;
  }
  timer_.expires_after(kFlushDelay);
  timer_.async_wait([this](const boost::system::error_code& error) {
    flush_scheduled_ = false;
    if (!error) {
      Flush();
    }
  });
}

void LogWriter::Flush() {
  while (!buffer_.IsEmpty() && IsReady(descriptor_)) {
    const std::string_view chunk = buffer_.Front(kMaxWriteBytes);
    const ssize_t written = write(descriptor_, chunk.data(), chunk.size());
    if (written <= 0) {
      break;
    }
    buffer_.Pop(static_cast<std::size_t>(written));
  }
  if (buffer_.IsEmpty()) {
    ReportDropped();
  } else {
    ScheduleFlush();
  }
}

void LogWriter::ReportDropped() {
  if (reported_drops_ == buffer_.dropped()) {
    return;
  }
  LogCounts newly_dropped{};
  for (std::size_t i = 0; i < kLogClassCount; ++i) {
    newly_dropped.at(i) = buffer_.dropped().at(i) - reported_drops_.at(i);
  }
  reported_drops_ = buffer_.dropped();
  if (on_dropped_) {
    on_dropped_(newly_dropped);
  }
}

}  // namespace pathcleat
