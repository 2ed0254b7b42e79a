// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <map>
#include <string>
#include <vector>

#include "pathcleat/core/mechanism.hpp"
#include "pathcleat/routing/pick.hpp"
#include "pathcleat/routing/request_profile.hpp"
#include "pathcleat/routing/retry_scheduler.hpp"
#include "pathcleat/routing/urgency_tracker.hpp"

namespace pathcleat {

/// @brief Which requests are refused for a queue, and when each refused one
/// is told to come back. Not thread-safe.
/// @ingroup routing
class AdmissionControl {
 public:
  explicit AdmissionControl(const PolicySwitches& policy) : policy_(policy) {}

  /// @brief Whether a request may go to the upstream chosen for it. What this
  /// host has itself tried elsewhere may. Where there is a queue, a kind that
  /// is sent on more often than a more urgent one of its service may not.
  bool TryAdmit(const Pick& pick,
                const PickRequest& request,
                RequestProfile& profile,
                Time now);

  /// @brief How long to stay away from the queue of the upstream chosen.
  Duration RetryDelayForQueue(const Pick& pick,
                              const PickRequest& request,
                              const RequestProfile& profile,
                              Time now);

  /// @brief How long to stay away where no upstream may be sent to: until the
  /// first one may.
  /// @param open those that the request may go to by list, drains and homes.
  Duration RetryDelayForAny(const std::vector<UpstreamPtr>& open,
                            const PickRequest& request,
                            const RequestProfile& profile,
                            Time now);

 private:
  PolicySwitches policy_;
  std::map<std::string, UrgencyTracker> urgency_;  ///< by service
  std::map<std::string, RetryScheduler>
      unknown_;  ///< by service: no time is known
};

}  // namespace pathcleat
