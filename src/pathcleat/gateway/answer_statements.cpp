// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/answer_statements.hpp"

#include "pathcleat/calls/upstream_protocol.hpp"
#include "pathcleat/core/hash.hpp"
#include "pathcleat/http/http_status.hpp"

namespace pathcleat {
namespace {

// An answer without a header revokes what an earlier answer stated only if the
// upstream has run the request: a rejection may lack the header.
bool MayRevoke(const GatewayState& state, const UpstreamAnswer& answer) {
  return answer.is_complete && !IsNotRun(state.headers, answer.response) &&
         IsCompleteAnswer(state.headers, answer.response);
}

void ApplyRateLimit(GatewayState& state,
                    const UpstreamAnswer& answer,
                    Time now) {
  const UpstreamPtr& upstream = answer.upstream;
  const HttpResponse& response = answer.response;
  const RateLimitHeader limit = ParseRateLimit(state.headers, response);
  const bool unreadable = limit.present && !limit.per_second;
  if (unreadable && !upstream->limit_unreadable) {
    state.events.Record(
        EventCode::kUpstreamLimitUnreadable, upstream->info.id,
        FindHeader(response.headers, state.headers.rate_limit).value_or(""));
  }
  upstream->limit_unreadable = unreadable;
  if (limit.per_second) {
    state.upstream_statements.OnLimitReported(upstream, *limit.per_second, now);
  } else if (!limit.present && MayRevoke(state, answer)) {
    state.upstream_statements.OnNoLimitReported(upstream, answer.sent, now);
  }
}

void ApplyLeaving(GatewayState& state, const UpstreamAnswer& answer, Time now) {
  const bool leaving = IsLeaving(state.headers, answer.response);
  if (leaving || MayRevoke(state, answer)) {
    state.upstream_statements.OnLeavingReported(answer.upstream, leaving,
                                                answer.sent, now);
  }
}

void RecordBackoff(GatewayState& state,
                   const UpstreamAnswer& answer,
                   Duration delay,
                   bool is_renewed) {
  state.metrics.OnBackoff();
  state.events.Record(EventCode::kUpstreamBackoff, answer.upstream->info.id, "",
                      {MillisecondsField(field::kRetryAfterMs, delay),
                       {field::kRenewed, is_renewed},
                       {field::kRequest, FindHeader(answer.response.headers,
                                                    state.headers.request_id)
                                             .value_or("")}});
}

void ApplyRetryAfter(GatewayState& state,
                     const UpstreamAnswer& answer,
                     Time now) {
  const UpstreamPtr& upstream = answer.upstream;
  const RetryAfterHeader retry_after = ParseRetryAfter(answer.response);
  const bool unreadable = retry_after.present && !retry_after.delay;
  if (unreadable && !upstream->retry_after_unreadable) {
    state.events.Record(
        EventCode::kRetryAfterUnreadable, upstream->info.id,
        FindHeader(answer.response.headers, "Retry-After").value_or(""));
  }
  upstream->retry_after_unreadable = unreadable;
  if (!retry_after.delay || *retry_after.delay <= Duration::zero()) {
    return;
  }
  const bool was_in_force = upstream->backoff.IsInForce(now);
  const bool is_renewed = upstream->backoff.IsRecovering(now);
  const double spread = ToUnitInterval(
      MixHashes(upstream->hash, StableHash(state.settings.host)));
  const bool extended =
      state.upstreams.StartBackoff(upstream, *retry_after.delay, spread, now);
  if (extended && !was_in_force) {
    RecordBackoff(state, answer, *retry_after.delay, is_renewed);
  }
}

}  // namespace

void ApplyStatements(GatewayState& state, const UpstreamAnswer& answer) {
  if (answer.response.status == http_status::kMisdirected) {
    return;
  }
  const Time now = BootClock::now();
  const PolicySwitches& policy = state.settings.policy;
  if (policy.IsEnabled(Mechanism::kUpstreamLimits)) {
    ApplyRateLimit(state, answer, now);
  }
  if (policy.IsEnabled(Mechanism::kUpstreamLeaving)) {
    ApplyLeaving(state, answer, now);
  }
  if (policy.IsEnabled(Mechanism::kUpstreamBackoff)) {
    ApplyRetryAfter(state, answer, now);
  }
}

}  // namespace pathcleat
