// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/core/hybrid_clock.hpp"

#include <algorithm>
#include <charconv>
#include <limits>

namespace pathcleat {
namespace {

// Clocks of hosts differ by less. A time that is further ahead would stay the
// newest at every host that receives it, for as long as it is ahead.
constexpr std::uint64_t kMaxAheadMicros = 24ULL * 3'600 * 1'000'000;

HybridTime Successor(const HybridTime& time) {
  return time.counter == std::numeric_limits<std::uint32_t>::max()
             ? HybridTime{time.micros + 1, 0}
             : HybridTime{time.micros, time.counter + 1};
}

bool IsTooFarAhead(const HybridTime& remote, std::uint64_t wall_micros) {
  return remote.micros > wall_micros &&
         remote.micros - wall_micros > kMaxAheadMicros;
}

}  // namespace

std::string ToString(const HybridTime& time) {
  return std::to_string(time.micros) + "." + std::to_string(time.counter);
}

HybridTime ParseHybridTime(std::string_view text) {
  HybridTime time;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, time.micros);
  if (parsed.ptr != end && *parsed.ptr == '.') {
    std::from_chars(parsed.ptr + 1, end, time.counter);
  }
  return time;
}

HybridTime HybridClock::Tick(std::uint64_t wall_micros) {
  const std::lock_guard lock(mutex_);
  if (wall_micros > last_.micros) {
    last_ = {wall_micros, 0};
  } else {
    last_ = Successor(last_);
  }
  return last_;
}

HybridTime HybridClock::Observe(const HybridTime& remote,
                                std::uint64_t wall_micros) {
  const std::lock_guard lock(mutex_);
  const HybridTime newest =
      IsTooFarAhead(remote, wall_micros) ? last_ : std::max(last_, remote);
  if (wall_micros > newest.micros) {
    last_ = {wall_micros, 0};
  } else {
    last_ = Successor(newest);
  }
  return last_;
}

}  // namespace pathcleat
