// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/quota_gate.hpp"

namespace pathcleat {

QuotaResult QuotaGate::Take(const Account& account,
                            Duration caller_left,
                            Duration target,
                            Time now) {
  QuotaResult answer;
  answer.decision = control_.Take(account, now);
  if (answer.decision.allowed) {
    return answer;
  }
  RetryWindow window;
  window.room = answer.decision.time_until_available;
  window.in_time = Duration::zero();
  window.latest = LatestRetry(caller_left, target);
  window.spacing = answer.decision.spacing;
  answer.retry_after = returns_[AccountId(account)].Reserve(window, now);
  return answer;
}

}  // namespace pathcleat
