// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/event_log.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <memory>
#include <mutex>
#include <utility>

#include "pathcleat/core/time.hpp"

namespace pathcleat {
namespace {

constexpr const char* kLoggerName = "pathcleat";

log4cplus::LogLevel LevelOf(Severity severity) {
  switch (severity) {
    case Severity::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case Severity::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case Severity::kAlarm:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

}  // namespace

EventLog::EventLog(std::string host, std::size_t capacity)
    : host_(std::move(host)), capacity_(capacity) {}

void EventLog::Record(EventCode code, std::string subject, std::string text) {
  Event event{clock_.Tick(WallMicros()), code, host_, std::move(subject),
              std::move(text)};
  auto logger = log4cplus::Logger::getInstance(kLoggerName);
  logger.log(LevelOf(InfoOf(code).severity), ToJsonLine(event));
  const std::lock_guard lock(mutex_);
  events_.push_back(std::move(event));
  if (events_.size() > capacity_) {
    events_.pop_front();
  }
}

std::vector<Event> EventLog::Snapshot() const {
  const std::lock_guard lock(mutex_);
  return {events_.begin(), events_.end()};
}

void InitializeLogging() {
  static log4cplus::Initializer initializer;
  constexpr bool kToStandardError = true;
  constexpr bool kFlushEachLine = true;
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(kToStandardError, kFlushEachLine));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  auto root = log4cplus::Logger::getRoot();
  root.addAppender(appender);
  root.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

}  // namespace pathcleat
