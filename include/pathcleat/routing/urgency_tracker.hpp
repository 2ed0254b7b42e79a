// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <compare>
#include <map>
#include <string>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Order in which requests are served: lower values first.
/// @ingroup routing
struct Urgency {
  /// Priority of the account; of the route if the account has none.
  int account_priority = 0;
  int route_priority = 0;  ///< decides between equal account priorities

  auto operator<=>(const Urgency&) const = default;
};

/// @brief Tracks which share of each kind of a service's requests this host
/// has recently sent to an upstream, so that no kind is served at a lower rate
/// than a less urgent one. A kind is the requests of one route that have the
/// same account priority. Not thread-safe.
/// @ingroup routing
class UrgencyTracker {
 public:
  /// @brief Counts the first attempt of a request of a kind.
  void OnFirstAttempt(const std::string& kind,
                      const Urgency& urgency,
                      Time now);

  /// @brief Counts a request of a kind that was sent to an upstream.
  void OnSent(const std::string& kind, Time now);

  /// @brief Whether the share of this kind's requests that is sent is higher
  /// than that of at least one more urgent kind.
  bool IsOverServed(const std::string& kind, Time now) const;

 private:
  struct Counts {
    Urgency urgency;
    /// Number of first attempts; each counts less with its age at updated_at.
    double offered = 0;
    /// Number of requests sent, which count less with their age in the same
    /// way.
    double sent = 0;
    Time updated_at;

    void DecayTo(Time now);
  };

  void DropDecayed(Time now);

  /// Requests sent per first attempt; 1 if there were too few attempts.
  static double Share(const Counts& counts, Time now);

  std::map<std::string, Counts> kinds_;
};

}  // namespace pathcleat
