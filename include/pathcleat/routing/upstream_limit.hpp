// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief What one answer of an upstream stated about its rate limit, which
/// applies to all hosts together.
/// @ingroup routing
struct LimitObservation {
  /// Requests a second; empty: the answer stated no limit.
  std::optional<double> per_second;
  /// With a limit: when the answer was received. Without a limit: when the
  /// request was sent, as a limit may have started after that.
  Time observed_at;
  std::string host;    ///< host that received the answer
  std::string domain;  ///< failure domain of that host
};

/// @brief Effect of a LimitObservation on the limit in force.
/// @ingroup routing
enum class LimitChange {
  kNone,     ///< no effect, or the observation was outdated
  kStarted,  ///< a limit came into force
  kChanged,  ///< the limit in force has another value
  kEnded,    ///< no limit is in force any more
};

/// @brief The rate limit that an upstream states in its answers while it is
/// short of capacity.
///
/// The newest observation applies. An answer without a limit ends the limit
/// only if its request was sent after the limit was last stated, as answers can
/// overtake each other. Only an answer shows that a limit has ended, so an
/// unconfirmed limit is probed after a while; without any answer the permitted
/// rate doubles at regular intervals. Not thread-safe.
/// @ingroup routing
class UpstreamLimit {
 public:
  /// @brief Sets the highest rate the upstream can serve, in requests per
  /// second; a limit at or above it has no effect.
  void SetCapacity(double per_second) { capacity_ = per_second; }

  /// @brief Replaces the latest observation by a newer one.
  /// @return whether `update` was newer.
  bool Update(const LimitObservation& update);

  /// @brief Whether a limit below the capacity applies.
  bool IsInForce(Time now) const;

  /// @brief Whether a request should be sent to learn if the limit still
  /// applies.
  bool ShouldProbe(Time now) const;

  /// @brief Requests per second that all hosts together may send now.
  double PerSecond(Time now) const;

  /// @brief The latest observation; null if there was none.
  const LimitObservation* observation() const { return latest_.get(); }

 private:
  double capacity_ = 0;
  /// Kept behind a pointer to save memory: only a few of a host's thousands of
  /// upstreams ever state a limit.
  std::shared_ptr<const LimitObservation> latest_;
};

}  // namespace pathcleat
