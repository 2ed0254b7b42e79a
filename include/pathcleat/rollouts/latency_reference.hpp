// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace pathcleat {

/// @brief Typical latencies of the versions other than the new one, as observed
/// by this host, relative to what is expected on the route. Long latencies of
/// both versions are counted by the same reference. Not thread-safe.
/// @ingroup rollouts
class LatencyReference {
 public:
  /// @brief Median of the last latencies of the route's responses in this
  /// class, or of all routes while the route has too few; empty if all have.
  std::optional<double> Find(std::uint64_t route, std::size_t kind) const;

  /// @param kind of responses, such as those within the region with warm keys.
  /// @param latency as a multiple of the expected one.
  void Add(std::uint64_t route, std::size_t kind, double latency);

 private:
  class Window {
   public:
    void Add(double latency);
    std::optional<double> Median() const;

   private:
    static constexpr std::size_t kSize = 15;
    std::array<double, kSize> last_{};
    std::size_t count_ = 0;
  };

  std::map<std::pair<std::uint64_t, std::size_t>, Window> by_route_;
  std::map<std::size_t, Window> by_kind_;
};

}  // namespace pathcleat
