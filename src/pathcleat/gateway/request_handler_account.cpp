// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// How a call counts in the limit of its caller's account.

#include <utility>

#include "pathcleat/calls/upstream_protocol.hpp"
#include "pathcleat/gateway/request_handler.hpp"

namespace pathcleat {

bool RequestHandler::TakeQuota() {
  if (!account_) {
    return true;
  }
  const Time now = BootClock::now();
  const QuotaResult quota = state_.quotas.Admit(
      *account_, request_.CallerTimeLeft(), route_->target_latency, now);
  counts_ = quota.decision.allowed;
  if (counts_) {
    state_.account_stats.OnAccepted(account_->name);
    return true;
  }
  state_.account_stats.OnOverLimit(account_->name);
  state_.metrics.OnRefused(kAccountLimitReason);
  trace_.NoteOverLimit(*account_, quota.decision, quota.retry_after);
  Answer(OverLimitResponse(quota.retry_after), RunOutcome::kNotRun);
  return false;
}

// What certainly has not run is no use of the account's limit.
void RequestHandler::GiveQuotaBack() {
  if (std::exchange(counts_, false)) {
    state_.quotas.control().Release(*account_, BootClock::now());
  }
}

}  // namespace pathcleat
