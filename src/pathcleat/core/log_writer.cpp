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

// Lines are written together, this long after the first.
constexpr std::chrono::milliseconds kGatherTime{100};

// A descriptor that is ready takes this much without blocking (POSIX, pipes).
constexpr std::size_t kPiece = PIPE_BUF;

bool IsReady(int descriptor) {
  pollfd entry{descriptor, POLLOUT, 0};
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

// Hands log4cplus' lines to a writer.
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
  Arm();
}

void LogWriter::Arm() {
  if (std::exchange(armed_, true)) {
    return;
  }
  timer_.expires_after(kGatherTime);
  timer_.async_wait([this](const boost::system::error_code& error) {
    armed_ = false;
    if (!error) {
      Flush();
    }
  });
}

void LogWriter::Flush() {
  while (!buffer_.IsEmpty() && IsReady(descriptor_)) {
    const std::string_view piece = buffer_.Front(kPiece);
    const ssize_t written = write(descriptor_, piece.data(), piece.size());
    if (written <= 0) {
      break;
    }
    buffer_.Pop(static_cast<std::size_t>(written));
  }
  if (buffer_.IsEmpty()) {
    TellDropped();
  } else {
    Arm();
  }
}

void LogWriter::TellDropped() {
  if (told_ == buffer_.dropped()) {
    return;
  }
  LogCounts since{};
  for (std::size_t i = 0; i < kLogClassCount; ++i) {
    since.at(i) = buffer_.dropped().at(i) - told_.at(i);
  }
  told_ = buffer_.dropped();
  if (on_dropped_) {
    on_dropped_(since);
  }
}

}  // namespace pathcleat
