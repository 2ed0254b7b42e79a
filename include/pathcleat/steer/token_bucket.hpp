// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Rate limiter with a burst. At a rate of 0 no call is allowed. Not
/// thread-safe.
/// @ingroup steer
class TokenBucket {
 public:
  /// @param per_second long-term rate.
  /// @param burst maximum number of calls at one moment.
  TokenBucket(double per_second, double burst);

  /// @brief Acquires a token for one call, if the rate allows it now.
  bool TryAcquire(Time now);

  /// @brief Returns the token of a call that was not made.
  void Release(Time now);

  /// @brief Whether TryAcquire would succeed now.
  bool CanAcquire(Time now) const;

  /// @brief Time until TryAcquire would succeed; nothing if it never would at
  /// this rate.
  std::optional<Duration> TimeUntilAvailable(Time now) const;

  double rate_per_second() const { return per_second_; }

  /// @brief Changes the long-term rate. The tokens in the bucket are kept.
  void SetRate(double per_second, Time now);

 private:
  double TokensAt(Time now) const;

  double per_second_;
  double burst_;
  double tokens_;
  Time updated_at_;
  bool started_ = false;
};

}  // namespace pathcleat
