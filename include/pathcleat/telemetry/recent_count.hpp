// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <cstdint>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Number of events in the last full window and in the current one. Not
/// thread-safe.
/// @ingroup telemetry
class RecentCount {
 public:
  static constexpr Duration kWindow{1'000'000};

  void Add(Time now);

  /// @brief Events from the start of the last full window until now, which is
  /// between one and two windows.
  std::uint64_t Count(Time now) const;

 private:
  Time window_start_;
  std::uint64_t current_ = 0;
  std::uint64_t previous_ = 0;
};

}  // namespace pathcleat
