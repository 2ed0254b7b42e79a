// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/quota_enforcer.hpp"

namespace pathcleat {

QuotaResult QuotaEnforcer::Admit(const Account& account,
                                 Duration caller_left,
                                 Duration target,
                                 Time now) {
  QuotaResult result;
  result.decision = control_.Admit(account, now);
  if (result.decision.allowed) {
    return result;
  }
  RetryWindow window;
  window.earliest = result.decision.time_until_available;
  window.latest_in_time = Duration::zero();
  window.latest = LatestRetryDelay(caller_left, target);
  window.spacing = result.decision.mean_interval;
  result.retry_after =
      retry_schedulers_[AccountId(account)].Reserve(window, now);
  return result;
}

}  // namespace pathcleat
