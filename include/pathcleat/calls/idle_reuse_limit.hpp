// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief How long a kept connection may have rested before it is used for work
/// that must not be repeated. Upstreams may forget a resting connection without
/// a word: what is sent on it is lost, and nobody can tell whether it has run.
/// Learned from connections that broke at their first use after a rest; what is
/// not seen again is forgotten. Not thread-safe.
/// @ingroup calls
class IdleReuseLimit {
 public:
  /// @brief A connection that had rested so long was gone.
  void OnStaleConnection(Duration rested, Time now);

  /// @brief The longest rest that is trusted now.
  Duration MaxIdle(Time now) const;

 private:
  Duration least_ = kTrusted;
  Time learned_;

  // What is trusted where nothing was seen: more than any kept connection
  // rests.
  static constexpr Duration kTrusted{60'000'000};
};

}  // namespace pathcleat
