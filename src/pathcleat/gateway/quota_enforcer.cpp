// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/quota_enforcer.hpp"

namespace pathcleat {

QuotaResult QuotaEnforcer::Admit(const Account& account,
                                 Duration caller_left,
                                 Duration target,
                                 Time now) {
  QuotaResult answer;
  answer.decision = control_.Admit(account, now);
  if (answer.decision.allowed) {
    return answer;
  }
  RetryWindow window;
  window.earliest = answer.decision.time_until_available;
  window.latest_in_time = Duration::zero();
  window.latest = LatestRetry(caller_left, target);
  window.spacing = answer.decision.mean_interval;
  answer.retry_after = returns_[AccountId(account)].Reserve(window, now);
  return answer;
}

}  // namespace pathcleat
