// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/quota_gate.hpp"

namespace pathcleat {

QuotaAnswer QuotaGate::Take(const Account& account,
                            Duration caller_left,
                            Duration target,
                            Time now) {
  QuotaAnswer answer;
  answer.decision = control_.Take(account, now);
  if (answer.decision.allowed) {
    return answer;
  }
  ComebackWindow window;
  window.room = answer.decision.next_in;
  window.in_time = Duration::zero();
  window.latest = LatestReturn(caller_left, target);
  window.spacing = answer.decision.spacing;
  answer.retry_after = returns_[AccountId(account)].Book(window, now);
  return answer;
}

}  // namespace pathcleat
