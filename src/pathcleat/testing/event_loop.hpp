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
  // Once a process: what log4cplus has torn down cannot be used again.
  static log4cplus::Initializer logging;
  log4cplus::Logger::getRoot().addAppender(
      log4cplus::SharedAppenderPtr(new log4cplus::NullAppender));
}

/// @brief Runs the event loop until a condition holds.
/// @return false if it did not hold for a time far beyond any needed.
inline bool WaitUntil(boost::asio::io_context& loop,
                      const std::function<bool()>& condition) {
  constexpr std::chrono::seconds kLongestWait{120};
  constexpr std::chrono::milliseconds kSlice{5};
  const auto deadline = std::chrono::steady_clock::now() + kLongestWait;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    loop.restart();
    loop.run_one_for(kSlice);
  }
  return true;
}

/// @brief A loopback address that no other test process uses.
inline std::string UniqueLoopbackAddress() {
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
