// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "pathcleat/core/time.hpp"
#include "pathcleat/store/fleet_source.hpp"

namespace pathcleat {

/// @brief How long ago the store last answered a host, by topic; an answer
/// that nothing has changed counts too. Whole milliseconds, at most 65,534.
/// @ingroup fleet
class StoreAnswerAges {
 public:
  void Set(SourceTopic topic, Duration age);

  /// @brief The age of the last answer; empty if there was none or the host
  /// does not state it.
  std::optional<Duration> Of(SourceTopic topic) const;

  /// @brief Whether the age is stated for any topic.
  bool IsAnyKnown() const;

  /// @brief Adds the time since the ages were stated.
  void Advance(Duration elapsed);

  /// @brief Keeps for each topic the younger of the two ages.
  void TakeYounger(const StoreAnswerAges& other);

  /// @brief Appends the ages to a message: 4 bytes.
  void AppendTo(std::string& bytes) const;

  /// @brief Reads ages from the front of `bytes` and removes them there.
  /// Leaves the ages unknown if `bytes` holds none.
  void TakeFrom(std::string_view& bytes);

  friend bool operator==(const StoreAnswerAges&,
                         const StoreAnswerAges&) = default;

 private:
  static constexpr std::uint16_t kUnknown = 0xffff;

  std::uint16_t& MillisecondsOf(SourceTopic topic);
  std::uint16_t MillisecondsOf(SourceTopic topic) const;

  std::uint16_t orders_ms_ = kUnknown;
  std::uint16_t upstreams_ms_ = kUnknown;
};

}  // namespace pathcleat
