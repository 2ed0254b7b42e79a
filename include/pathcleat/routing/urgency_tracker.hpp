// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <compare>
#include <map>
#include <string>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Which of two requests goes first; the lower one.
/// @ingroup routing
struct Urgency {
  int account_priority = 0;  ///< its account's priority, where it has one
  int route_priority = 0;    ///< decides among callers that are alike

  auto operator<=>(const Urgency&) const = default;
};

/// @brief What share of each kind of request of a service this host has sent
/// on of late, so that no kind is served less often than a less urgent one.
/// Not thread-safe.
/// @ingroup routing
class UrgencyTracker {
 public:
  /// @brief A first try of a kind came.
  void OnFirstAttempt(const std::string& kind,
                      const Urgency& urgency,
                      Time now);

  /// @brief A request of the kind was sent on.
  void OnSent(const std::string& kind, Time now);

  /// @brief Whether the kind is sent on more often than a more urgent one.
  bool IsOverServed(const std::string& kind, Time now) const;

 private:
  struct Counts {
    Urgency urgency;
    double offered = 0;  ///< weighted by age, at counted
    double sent = 0;
    Time counted;

    void FadeTo(Time now);
  };

  void Forget(Time now);

  /// Sent of the offered; 1 if too few were offered.
  static double Share(const Counts& counts, Time now);

  std::map<std::string, Counts> kinds_;
};

}  // namespace pathcleat
