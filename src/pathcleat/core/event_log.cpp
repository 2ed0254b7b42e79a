// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/event_log.hpp"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <mutex>
#include <utility>

#include "pathcleat/core/time.hpp"

namespace pathcleat {
namespace {

constexpr const char* kLoggerPrefix = "pathcleat.";

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

log4cplus::Logger LoggerOf(LogClass log_class) {
  return log4cplus::Logger::getInstance(std::string(kLoggerPrefix) +
                                        ToString(log_class));
}

}  // namespace

LogClass LogClassOfLogger(const std::string& logger) {
  for (const LogClass log_class : {LogClass::kRequest, LogClass::kFailure}) {
    if (logger.ends_with(ToString(log_class))) {
      return log_class;
    }
  }
  return LogClass::kState;
}

EventLog::EventLog(std::string host, std::size_t capacity)
    : host_(std::move(host)), capacity_(capacity) {}

Event EventLog::MakeEvent(EventCode code,
                          std::string subject,
                          std::string text,
                          EventFields fields) {
  return {clock_.Tick(WallMicros()),
          code,
          host_,
          std::move(subject),
          std::move(text),
          std::move(fields)};
}

void EventLog::Record(EventCode code,
                      std::string subject,
                      std::string text,
                      EventFields fields) {
  Write(MakeEvent(code, std::move(subject), std::move(text), std::move(fields)),
        EventInfoOf(code).log_class);
}

void EventLog::Write(Event event, LogClass log_class) {
  LoggerOf(log_class).log(LevelOf(EventInfoOf(event.code).severity),
                          ToJsonLine(event));
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

}  // namespace pathcleat
