// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/upstream_attempt.hpp"

#include <algorithm>
#include <utility>

#include "pathcleat/calls/upstream_protocol.hpp"
#include "pathcleat/http/http_status.hpp"

namespace pathcleat {
namespace {

// Older than any measurement; 0.25 s measured the same on grown Ker Avel
// (docs/DECISIONS.md, rounds).
constexpr Duration kConnectTimeout{600'000};

}  // namespace

void UpstreamAttempt::Start(const Pick& pick,
                            std::uint64_t key,
                            const HttpRequest& request,
                            const RequestMetadata& origin,
                            const AttemptTimeouts& times,
                            std::function<void()> opened,
                            Callback callback) {
  const Time now = BootClock::now();
  UpstreamState& upstream = *pick.upstream;
  pick_ = pick;
  sent_ = now;
  const bool was_silent = std::exchange(silent_, false);
  counts_ = true;
  upstream.load.OnSent();
  if (Rollout* rollout = state_.rollouts.Find(upstream.info.service)) {
    rollout->OnSent(upstream.info.version);
  }
  // Upstreams are quick at a key from the start of its first run on.
  upstream.keys.Touch(key);
  state_.picker.links().OnSent(upstream.region);
  upstream.health.OnSent(pick.expected_latency, now);
  took_share_ = false;
  TakeShare(now);
  // What went into silence once goes over a connection that is new.
  client_ = was_silent ? state_.connection_pool.Create(upstream.info)
                       : state_.connection_pool.Acquire(upstream.info,
                                                        origin.repeatable, now);
  rested_ = client_->IsReusable() ? std::optional(now - client_->idle_since())
                                  : std::nullopt;
  client_->OnOpened(std::move(opened));
  client_->Send(
      MakeUpstreamRequest(state_.headers, request, origin, upstream.info.id,
                          times.work_timeout),
      {std::min(kConnectTimeout, times.work_timeout), times.response_timeout},
      [this, callback = std::move(callback)](const CallResult& result) {
        OnResult(result, callback);
      },
      MakeResponseMatcher(state_.headers, origin.request_id));
}

void UpstreamAttempt::OnResult(const CallResult& result,
                               const Callback& callback) {
  const HttpClientPtr client = std::exchange(client_, nullptr);
  UpstreamState& upstream = *pick_.upstream;
  const bool answered = result.outcome == CallOutcome::kAnswered;
  if (result.outcome == CallOutcome::kNotSent) {
    GiveShareBack();
  }
  if (answered) {
    upstream.health.OnResponse(BootClock::now());
    if (const auto report = ParseLoadReport(state_.headers, result.response)) {
      upstream.load.OnReport(*report, BootClock::now());
    }
    NoteUnknownFields(result.response.headers);
    NoteLimit(result.response);
  }
  CountBreak(result);
  if (WasForgotten(result)) {
    counts_ = false;
    state_.connection_pool.OnStaleConnection(upstream.info, *rested_,
                                             BootClock::now());
  }
  if (result.connection_silent && !silent_) {
    NoteSilent(*client);
  }
  NoteEnded();
  silent_ = silent_ || result.connection_silent;
  if (const auto opened = client->connect_time()) {
    state_.picker.OnConnected(upstream, *opened);
  }
  if (answered) {
    state_.connection_pool.Release(upstream.info.id, client);
  }
  callback(result);
}

// Another upstream that has the address now speaks for itself. A rejection may
// name a limit, but does not end one by leaving it out.
void UpstreamAttempt::NoteLimit(const HttpResponse& response) {
  const Time now = BootClock::now();
  const UpstreamPtr& upstream = pick_.upstream;
  if (!state_.settings.policy.IsEnabled(Mechanism::kUpstreamLimits) ||
      response.status == http_status::kMisdirected) {
    return;
  }
  const RateLimitHeader limit = ParseRateLimit(state_.headers, response);
  const bool unreadable = limit.present && !limit.per_second;
  if (unreadable && !upstream->limit_unreadable) {
    state_.events.Record(
        EventCode::kUpstreamLimitUnreadable, upstream->info.id,
        FindHeader(response.headers, state_.headers.rate_limit).value_or(""));
  }
  upstream->limit_unreadable = unreadable;
  if (limit.per_second) {
    state_.upstream_limits.OnLimitReported(upstream, *limit.per_second, now);
  } else if (!limit.present && !IsNotRun(state_.headers, response) &&
             IsCompleteAnswer(state_.headers, response)) {
    state_.upstream_limits.OnNoLimitReported(upstream, sent_, now);
  }
}

void UpstreamAttempt::NoteUnknownFields(const HttpHeaders& headers) {
  for (const HttpHeader& header : state_.unknown_headers.FindNew(headers)) {
    state_.events.Record(EventCode::kAnswerFieldUnknown,
                         pick_.upstream->info.id,
                         header.name + ": " + header.value);
  }
}

// A kept connection that the upstream ended without a byte, sooner than any run
// ends. It says nothing of the upstream.
bool UpstreamAttempt::WasForgotten(const CallResult& result) const {
  const Duration took = BootClock::now() - sent_;
  return rested_ && result.outcome == CallOutcome::kConnectionLost &&
         !result.closed_locally && !result.connection_silent &&
         result.received_bytes == 0 && took < pick_.expected_latency / 2;
}

void UpstreamAttempt::CountBreak(const CallResult& result) {
  if (result.connection_silent) {
    state_.metrics.OnAborted(AbortCause::kSilentConnection);
  } else if (result.outcome == CallOutcome::kTimedOut) {
    state_.metrics.OnAborted(AbortCause::kDeadline);
  } else if (result.outcome == CallOutcome::kConnectionLost &&
             result.closed_locally) {
    state_.metrics.OnAborted(AbortCause::kBadAnswer);
  }
}

void UpstreamAttempt::Cancel(AbortCause cause) {
  if (MayHaveSent()) {
    state_.metrics.OnAborted(cause);
  }
  Withdraw();
}

void UpstreamAttempt::Withdraw() {
  if (!MayHaveSent()) {
    GiveShareBack();
  }
  std::exchange(client_, nullptr)->Cancel();
  NoteEnded();
}

bool UpstreamAttempt::MayStillSend(Time now) {
  return state_.upstreams.IsOpen(*pick_.upstream) && TakeShare(now);
}

bool UpstreamAttempt::TakeShare(Time now) {
  UpstreamState& upstream = *pick_.upstream;
  if (!took_share_ && upstream.IsRateBounded(now)) {
    took_share_ = upstream.rate_share.TryAcquire(now);
    return took_share_;
  }
  return true;
}

void UpstreamAttempt::GiveShareBack() {
  if (std::exchange(took_share_, false)) {
    pick_.upstream->rate_share.Release(BootClock::now());
  }
}

bool UpstreamAttempt::DetectSilence() {
  if (silent_ || !client_) {
    return silent_;
  }
  silent_ = BootClock::now() - sent_ >= kMinSilence &&
            client_->HasUnacknowledgedBytes();
  if (silent_) {
    NoteSilent(*client_);
    // It holds nothing back any more: the upstream itself may well answer.
    pick_.upstream->health.OnEnded();
  }
  return silent_;
}

void UpstreamAttempt::NoteSilent(const HttpClient& client) {
  counts_ = state_.connection_pool.OnSilentConnection(pick_.upstream->info.id,
                                                      client, BootClock::now());
}

void UpstreamAttempt::NoteEnded() {
  if (silent_) {
    pick_.upstream->health.OnEndReverted();
  }
  state_.OnAttemptEnded(*pick_.upstream);
}

bool UpstreamAttempt::IsBusy() const {
  return pick_.upstream->health.HasAnsweredSince(sent_);
}

void UpstreamAttempt::NoteFailed() {
  if (counts_) {
    state_.OnAttemptFailed(*pick_.upstream);
  }
}

void UpstreamAttempt::NoteNoAnswer() {
  if (IsBusy()) {
    return;
  }
  const Time now = BootClock::now();
  state_.picker.OnNoAnswer(*pick_.upstream, pick_, now - sent_, now);
  NoteFailed();
}

}  // namespace pathcleat
