// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

namespace pathcleat {

/// @brief Bounds what this host sends to a version that is being tried, by
/// what it has itself sent to the service before: each request to the new
/// version is paid for by others that came first. So the bound holds in sum
/// over all hosts, whatever they know of each other, and a host that starts
/// again has nothing to spend twice. Not thread-safe.
/// @ingroup rollouts
class CanaryLimiter {
 public:
  /// @param share of all requests sent that may go to the new version.
  explicit CanaryLimiter(double share) : share_(share) {}

  /// @brief A request went to an upstream.
  void OnSent(bool fresh) {
    ++sent_;
    fresh_ += fresh ? 1 : 0;
  }

  /// @brief Whether the next request may go to the new version.
  bool MaySend() const {
    return static_cast<double>(fresh_ + 1) <=
           share_ * static_cast<double>(sent_ + 1);
  }

  std::uint64_t sent() const { return sent_; }
  std::uint64_t new_version_sent() const { return fresh_; }

 private:
  double share_;
  std::uint64_t sent_ = 0;
  std::uint64_t fresh_ = 0;
};

}  // namespace pathcleat
