// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief What an answer showed of the requests a second that an upstream takes
/// from all hosts together.
/// @ingroup routing
struct LimitObservation {
  std::optional<double> per_second;  ///< nothing: it names no limit
  Time observed_at;                  ///< when that was known to hold
  std::string host;                  ///< that got the answer
  std::string domain;                ///< failure domain of that host
};

/// @brief What a sign changed.
/// @ingroup routing
enum class LimitChange {
  kNone,     ///< nothing, or an older sign than is known
  kStarted,  ///< a limit holds that did not before
  kChanged,  ///< another limit holds
  kEnded,    ///< none holds any more
};

/// @brief The limit that an upstream names in its answers while it is in need.
///
/// The newest sign holds. An answer without a limit ends it only if its request
/// was sent after the last one that named it, as answers overtake each other.
/// Nobody can tell that it has ended without sending, so one that was not heard
/// of for a while is to be asked about, and where no answer comes at all, what
/// may be sent is doubled again and again. Not thread-safe.
/// @ingroup routing
class UpstreamLimit {
 public:
  /// @brief What the upstream can do in any case, requests a second: a limit
  /// beyond that binds nothing.
  void SetCapacity(double per_second) { capacity_ = per_second; }

  /// @brief Takes what is newer than what is known.
  /// @return whether it was newer.
  bool Update(const LimitObservation& sign);

  /// @brief Whether a limit binds.
  bool IsInForce(Time now) const;

  /// @brief Whether a request should go there to learn whether it still binds.
  bool ShouldProbe(Time now) const;

  /// @brief Requests a second that all hosts may send now.
  double PerSecond(Time now) const;

  /// @brief The newest sign; null if nothing was ever told.
  const LimitObservation* observation() const { return sign_.get(); }

 private:
  double capacity_ = 0;
  /// Few of the thousands of upstreams that a host knows ever name a limit.
  std::shared_ptr<const LimitObservation> sign_;
};

}  // namespace pathcleat
