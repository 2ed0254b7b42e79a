// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <unistd.h>

#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/nullappender.h>

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QTimer>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace pathcleat {

/// @brief An application object for a test that needs an event loop.
class TestApplication {
 public:
  TestApplication() : application_(argc_, argv_) {
    // Once a process: what log4cplus has torn down cannot be used again.
    static log4cplus::Initializer logging;
    log4cplus::Logger::getRoot().addAppender(
        log4cplus::SharedAppenderPtr(new log4cplus::NullAppender));
  }

 private:
  int argc_ = 1;
  char name_[5] = "test";
  char* argv_[2] = {name_, nullptr};
  QCoreApplication application_;
};

/// @brief Runs the event loop until a condition holds.
/// @return false if it did not hold for a time far beyond any needed.
inline bool WaitUntil(const std::function<bool()>& condition) {
  constexpr int kLongestWaitMs = 120'000;
  constexpr int kSliceMs = 5;
  QTimer wake;
  wake.start(kSliceMs);
  const QDeadlineTimer deadline(kLongestWaitMs);
  while (!condition()) {
    if (deadline.hasExpired()) {
      return false;
    }
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  }
  return true;
}

/// @brief A loopback address that no other test process uses.
inline std::string OwnAddress() {
  const auto pid = static_cast<std::uint32_t>(::getpid());
  constexpr std::uint32_t kByte = 256;
  constexpr std::uint32_t kFirstBlock = 128;
  constexpr std::uint32_t kBlocks = 64;
  return "127." +
         std::to_string(kFirstBlock + (pid / kByte / kByte) % kBlocks) + "." +
         std::to_string(pid / kByte % kByte) + "." +
         std::to_string(pid % kByte);
}

}  // namespace pathcleat
