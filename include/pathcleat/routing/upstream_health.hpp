// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Whether an upstream is worth sending to, judged by this host's own
/// attempts alone. After failures in a row it is left alone for a time that
/// doubles; then one request at a time tries it.
/// @ingroup routing
class UpstreamHealth {
 public:
  void OnSuccess() {
    failures_ = 0;
    trying_ = false;
  }
  void OnFailure(Time now);

  /// @brief A request is sent to it.
  void OnSent() { trying_ = failures_ >= kFailuresToSuspect; }

  bool IsSuspect() const { return failures_ >= kFailuresToSuspect; }

  /// @brief Whether a request may be sent now.
  bool MayTry(Time now) const {
    return !IsSuspect() || (now >= retry_at_ && !trying_);
  }

 private:
  static constexpr int kFailuresToSuspect = 2;

  int failures_ = 0;
  bool trying_ = false;
  Time retry_at_;
};

}  // namespace pathcleat
