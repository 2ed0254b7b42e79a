// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_set>

namespace pathcleat {

/// @brief The keys that this host has sent to a version on trial. Requests that
/// repeat such a key are preferred for the trial: of requests chosen without
/// regard to keys, 1 in 100 had a warm key at the new version in the model of
/// 30 hosts, too few to compare run times with warm keys. Not thread-safe.
/// @ingroup rollouts
class CanaryKeys {
 public:
  bool IsRepeat(std::uint64_t key) const { return keys_.contains(key); }

  void OnSent(std::uint64_t key) {
    if (keys_.size() < kMaxKeys) {
      keys_.insert(key);
    }
  }

 private:
  // A trial of a few dozen seconds sends fewer keys from one host.
  static constexpr std::size_t kMaxKeys = 10'000;

  std::unordered_set<std::uint64_t> keys_;
};

}  // namespace pathcleat
