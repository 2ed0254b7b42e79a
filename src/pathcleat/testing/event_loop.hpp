// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <unistd.h>

#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/nullappender.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace pathcleat {

/// @brief Silences the log of a test process.
inline void SilenceLog() {
  // Static, because log4cplus cannot be used again in this process once it has
  // been shut down.
  static log4cplus::Initializer logging;
  log4cplus::Logger::getRoot().addAppender(
      log4cplus::SharedAppenderPtr(new log4cplus::NullAppender));
}

/// @brief Runs the event loop until a condition holds.
/// @return false if the condition did not hold within 120 s, far longer than
/// any test needs.
inline bool WaitUntil(boost::asio::io_context& loop,
                      const std::function<bool()>& condition) {
  constexpr std::chrono::seconds kMaxWait{120};
  constexpr std::chrono::milliseconds kPollInterval{5};
  const auto deadline = std::chrono::steady_clock::now() + kMaxWait;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    loop.restart();
    loop.run_one_for(kPollInterval);
  }
  return true;
}

/// @brief A loopback address made from the process ID, so that no other running
/// test process uses the same one.
inline std::string UniqueLoopbackAddress() {
  const auto pid = static_cast<std::uint32_t>(::getpid());
  constexpr std::uint32_t kValuesPerByte = 256;
  constexpr std::uint32_t kFirstSecondOctet = 128;
  constexpr std::uint32_t kSecondOctetCount = 64;
  return "127." +
         std::to_string(kFirstSecondOctet +
                        (pid / kValuesPerByte / kValuesPerByte) %
                            kSecondOctetCount) +
         "." + std::to_string(pid / kValuesPerByte % kValuesPerByte) + "." +
         std::to_string(pid % kValuesPerByte);
}

}  // namespace pathcleat
