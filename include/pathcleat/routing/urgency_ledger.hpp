// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <map>
#include <string>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief What share of each kind of request of a service this host has sent
/// on of late, so that no kind is served less often than a less urgent one.
/// Not thread-safe.
/// @ingroup routing
class UrgencyLedger {
 public:
  /// @brief A first try of a kind came.
  /// @param priority 0 is the most urgent.
  void OnOffered(const std::string& kind, int priority, Time now);

  /// @brief A request of the kind was sent on.
  void OnSent(const std::string& kind, Time now);

  /// @brief Whether the kind is sent on more often than a more urgent one.
  bool IsAhead(const std::string& kind, Time now) const;

 private:
  struct Counts {
    int priority = 0;
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
