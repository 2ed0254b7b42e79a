// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <compare>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace pathcleat {

/// @brief Hybrid logical timestamp: wall-clock microseconds and a counter that
/// orders events within the same microsecond.
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

/// @brief Formats a timestamp as "micros.counter".
/// @ingroup core
std::string ToString(const HybridTime& time);

/// @brief Reads the form of ToString; a part that is no number is 0.
/// @ingroup core
HybridTime ParseHybridTime(std::string_view text);

/// @brief Hybrid logical clock (Kulkarni et al., 2014). Thread-safe.
/// The receipt of a message is always ordered after its sending.
/// @ingroup core
class HybridClock {
 public:
  /// @brief Returns the timestamp of a local event.
  /// @param wall_micros current wall-clock time, microseconds since the epoch.
  HybridTime Tick(std::uint64_t wall_micros);

  /// @brief Returns the timestamp for the receipt of a message.
  /// @param remote timestamp of the message, set by its sender; ignored if it
  /// is more than a day ahead of the wall clock.
  HybridTime Observe(const HybridTime& remote, std::uint64_t wall_micros);

 private:
  std::mutex mutex_;
  HybridTime last_;
};

}  // namespace pathcleat
