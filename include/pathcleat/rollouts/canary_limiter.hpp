// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

namespace pathcleat {

/// @brief Limits the requests that this host sends to a version on trial to a
/// share of all requests that this host has sent to the service: each request
/// to the new version must be preceded by enough requests to other versions. So
/// the limit holds for the sum over all hosts without communication between
/// them. A host that restarts counts from zero and must send requests to other
/// versions before it may send one to the new version. Not thread-safe.
/// @ingroup rollouts
class CanaryLimiter {
 public:
  /// @param share of all sent requests that may go to the new version.
  explicit CanaryLimiter(double share) : share_(share) {}

  /// @brief Counts a request sent to an upstream.
  void OnSent(bool to_new_version) {
    ++sent_;
    new_version_sent_ += to_new_version ? 1 : 0;
  }

  /// @brief Whether the next request may go to the new version.
  /// @param reserve number of requests that must be left for later.
  bool MaySend(std::uint64_t reserve = 0) const {
    return static_cast<double>(new_version_sent_ + reserve + 1) <=
           share_ * static_cast<double>(sent_ + 1);
  }

  std::uint64_t sent() const { return sent_; }
  std::uint64_t new_version_sent() const { return new_version_sent_; }

 private:
  double share_;
  std::uint64_t sent_ = 0;
  std::uint64_t new_version_sent_ = 0;
};

}  // namespace pathcleat
