// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/wire/replay_guard.hpp"

#include <tuple>

namespace pathcleat {
namespace {

constexpr std::uint64_t kMostSkewMicros = 60'000'000;

bool IsNear(std::uint64_t a, std::uint64_t b) {
  return (a > b ? a - b : b - a) <= kMostSkewMicros;
}

}  // namespace

bool ReplayGuard::Accept(const StateMessage& message,
                         std::uint64_t wall_micros) {
  const auto found = newest_.find(message.sender);
  if (found == newest_.end()) {
    if (!IsNear(message.time.micros, wall_micros)) {
      return false;
    }
    newest_[message.sender] = {message.incarnation, message.sequence};
    return true;
  }
  Newest& newest = found->second;
  const bool is_newer = std::tie(message.incarnation, message.sequence) >
                        std::tie(newest.incarnation, newest.sequence);
  if (is_newer) {
    newest = {message.incarnation, message.sequence};
  }
  return is_newer;
}

}  // namespace pathcleat
