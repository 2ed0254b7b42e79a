// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace pathcleat {

/// @brief The affinity keys that this host last sent to one upstream, newest
/// first. The upstream is expected to be warm for these keys.
/// @ingroup routing
class RecentKeys {
 public:
  /// @param capacity number of keys remembered.
  explicit RecentKeys(std::size_t capacity) : capacity_(capacity) {}

  void Touch(std::uint64_t key);
  bool Contains(std::uint64_t key) const;
  void Clear() { keys_.clear(); }
  std::size_t size() const { return keys_.size(); }

 private:
  std::size_t capacity_;
  std::vector<std::uint64_t> keys_;
};

}  // namespace pathcleat
