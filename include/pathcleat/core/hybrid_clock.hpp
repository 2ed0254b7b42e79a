// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <compare>
#include <cstdint>
#include <mutex>
#include <string>

namespace pathcleat {

/// @brief A hybrid logical timestamp: wall microseconds and a counter that
/// orders events which fall into the same microsecond.
/// @ingroup core
struct HybridTime {
  std::uint64_t micros = 0;
  std::uint32_t counter = 0;

  auto operator<=>(const HybridTime&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(micros, counter);
  }
};

/// @brief Text form "micros.counter", sortable by the reader's eye.
/// @ingroup core
std::string ToString(const HybridTime& time);

/// @brief Hybrid logical clock (Kulkarni et al., 2014). Thread-safe.
/// A message received is always ordered after its sending.
/// @ingroup core
class HybridClock {
 public:
  /// @brief Timestamp of a local event.
  /// @param wall_micros the wall clock now, microseconds since the epoch.
  HybridTime Tick(std::uint64_t wall_micros);

  /// @brief Timestamp of the receipt of a message stamped remote.
  HybridTime Observe(const HybridTime& remote, std::uint64_t wall_micros);

 private:
  std::mutex mutex_;
  HybridTime last_;
};

}  // namespace pathcleat
