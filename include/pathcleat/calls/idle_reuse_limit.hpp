// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief How long a connection may have been idle before it is reused for a
/// request that must not be repeated. Upstreams may drop an idle connection
/// silently: a request sent on it is lost, and the host cannot tell whether the
/// request has run. The limit is learned from connections that broke at their
/// first use after an idle time, and rises again while no further connection
/// breaks. Not thread-safe.
/// @ingroup calls
class IdleReuseLimit {
 public:
  /// @brief Called when a connection broke on reuse after this idle time.
  void OnStaleConnection(Duration idle_time, Time now);

  /// @brief The longest idle time after which a connection may be reused.
  Duration MaxIdle(Time now) const;

 private:
  Duration limit_ = kMaxLimit;
  Time updated_at_;

  // Limit while no stale connection has been seen: longer than any connection
  // is kept idle.
  static constexpr Duration kMaxLimit{60'000'000};
};

}  // namespace pathcleat
