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

/// @brief Decides which requests are refused because of a queue, and after what
/// delay each refused request should retry. Not thread-safe.
/// @ingroup routing
class AdmissionControl {
 public:
  explicit AdmissionControl(const PolicySwitches& policy) : policy_(policy) {}

  /// @brief Whether a request may go to the upstream chosen for it. A request
  /// that this host has already tried at another upstream is always admitted.
  /// Where
  /// there is a queue, a request is refused if a larger share of its kind is
  /// sent than of a more urgent kind of the same service.
  bool TryAdmit(const Pick& pick,
                const PickRequest& request,
                RequestProfile& profile,
                Time now);

  /// @brief How long a caller should wait before it retries a request that was
  /// refused because of the chosen upstream's queue.
  Duration RetryDelayForQueue(const Pick& pick,
                              const PickRequest& request,
                              const RequestProfile& profile,
                              Time now);

  /// @brief How long a caller should wait before it retries a request for which
  /// no upstream is available: until the first upstream accepts requests.
  /// @param open upstreams that the request may go to by the list, drains and
  /// allowed regions.
  /// @param host_share this host's share of the slots that become available,
  /// as other hosts refuse callers too.
  Duration RetryDelayForAny(const std::vector<UpstreamPtr>& open,
                            double host_share,
                            const PickRequest& request,
                            const RequestProfile& profile,
                            Time now);

 private:
  PolicySwitches policy_;
  std::map<std::string, UrgencyTracker> urgency_;  ///< by service
  std::map<std::string, RetryScheduler>
      service_retries_;  ///< by service: retries not bound to one upstream
};

}  // namespace pathcleat
