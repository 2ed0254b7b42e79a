// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Counts a request in the limit of its caller's account.

#include <utility>

#include "pathcleat/calls/upstream_protocol.hpp"
#include "pathcleat/gateway/request_handler.hpp"

namespace pathcleat {

bool RequestHandler::AcquireQuota() {
  if (!account_) {
    return true;
  }
  const Time now = BootClock::now();
  const QuotaResult quota = state_.quotas.Admit(
      *account_, pick_request_.CallerTimeLeft(), route_->target_latency, now);
  counted_in_quota_ = quota.decision.allowed;
  if (counted_in_quota_) {
    state_.account_stats.OnAccepted(account_->name);
    return true;
  }
  state_.account_stats.OnOverLimit(account_->name);
  state_.metrics.OnRefused(kAccountLimitReason);
  trace_.NoteOverLimit(*account_, quota.decision, quota.retry_after);
  Answer(OverLimitResponse(quota.retry_after), RunOutcome::kNotRun);
  return false;
}

// A request that certainly did not run does not count in its account's limit.
void RequestHandler::ReleaseQuota() {
  if (std::exchange(counted_in_quota_, false)) {
    state_.quotas.control().Release(*account_, BootClock::now());
    state_.account_stats.OnNotRun(account_->name);
  }
}

}  // namespace pathcleat
