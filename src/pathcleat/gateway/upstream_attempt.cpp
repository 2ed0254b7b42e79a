// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/upstream_attempt.hpp"

#include <algorithm>
#include <utility>

#include "pathcleat/calls/upstream_protocol.hpp"
#include "pathcleat/gateway/answer_statements.hpp"
#include "pathcleat/http/http_status.hpp"

namespace pathcleat {
namespace {

constexpr Duration kConnectTimeout{600'000};

AttemptOutcome OutcomeOf(const HeaderNames& headers, const CallResult& result) {
  switch (result.outcome) {
    case CallOutcome::kNotSent:
      return AttemptOutcome::kNotRun;
    case CallOutcome::kConnectionLost:
    case CallOutcome::kTimedOut:
      return AttemptOutcome::kUnknown;
    case CallOutcome::kAnswered:
      break;
  }
  if (IsNotRun(headers, result.response)) {
    return AttemptOutcome::kNotRun;
  }
  if (!IsCompleteAnswer(headers, result.response)) {
    return AttemptOutcome::kUnknown;
  }
  return result.response.status >= http_status::kInternalError
             ? AttemptOutcome::kFailed
             : AttemptOutcome::kAnswered;
}

}  // namespace

void UpstreamAttempt::Start(const Pick& pick,
                            std::uint64_t key,
                            const HttpRequest& request,
                            const RequestMetadata& metadata,
                            const AttemptTimeouts& timeouts,
                            std::function<void()> opened,
                            Callback callback) {
  const Time now = BootClock::now();
  UpstreamState& upstream = *pick.upstream;
  pick_ = pick;
  sent_at_ = now;
  const bool was_silent = std::exchange(connection_silent_, false);
  failure_counts_ = true;
  if (Rollout* rollout = state_.rollouts.Find(upstream.info.service)) {
    rollout->OnSent(upstream.info.version, key);
    state_.version_stats.OnSent(upstream.info.service, upstream.info.version,
                                now);
    is_version_counted_ = true;
  }
  // An upstream counts as having warm caches for an affinity key from the start
  // of the first run of a request with that key.
  upstream.keys.Touch(key);
  reservation_ = {};
  state_.picker.links().OnSent(upstream.region);
  upstream.load.OnSent();
  upstream.health.OnSent(pick.expected_latency, now);
  try {
    Send(request, metadata, timeouts, was_silent, std::move(opened),
         std::move(callback));
  } catch (...) {
    // What is counted and reserved for the attempt must not stay so.
    Withdraw();
    throw;
  }
}

void UpstreamAttempt::Send(const HttpRequest& request,
                           const RequestMetadata& metadata,
                           const AttemptTimeouts& timeouts,
                           bool was_silent,
                           std::function<void()> opened,
                           Callback callback) {
  const Time now = sent_at_;
  UpstreamState& upstream = *pick_.upstream;
  state_.upstreams.Reserve(upstream, reservation_, now);
  // A request whose connection fell silent is sent again over a new connection.
  client_ = was_silent ? state_.connection_pool.Create(upstream.info)
                       : state_.connection_pool.Acquire(
                             upstream.info, metadata.repeatable, now);
  idle_time_ = client_->IsReusable()
                   ? std::optional(now - client_->idle_since())
                   : std::nullopt;
  connect_timeout_ = std::min(kConnectTimeout, timeouts.work_timeout);
  if (idle_time_) {
    upstream.last_write_at = now;
  }
  client_->OnOpened([this, opened = std::move(opened), client = client_.get()] {
    opened();
    if (client_.get() == client) {
      pick_.upstream->last_write_at = BootClock::now();
    }
  });
  client_->OnHead([this](const HttpResponse& head) {
    state_.failures.Run(
        EntryPoint::kUpstreamAnswer, pick_.upstream->info.id, [&] {
          ApplyStatements(state_, {pick_.upstream, head, sent_at_, false});
        });
  });
  client_->Send(
      MakeUpstreamRequest(state_.headers, request, metadata, upstream.info.id,
                          timeouts.work_timeout),
      {connect_timeout_, timeouts.response_timeout},
      [this, callback = std::move(callback)](const CallResult& result) {
        OnResult(result, callback);
      },
      MakeResponseMatcher(state_.headers, metadata.request_id));
}

// What this host can't learn from a result must not keep it from the caller,
// nor what is reserved for the attempt from being released.
void UpstreamAttempt::OnResult(const CallResult& result,
                               const Callback& callback) {
  const HttpClientPtr client = std::exchange(client_, nullptr);
  UpstreamState& upstream = *pick_.upstream;
  const auto contain = [this, &upstream](const auto& step) {
    state_.failures.Run(EntryPoint::kUpstreamAnswer, upstream.info.id, step);
  };
  contain([&] { LearnFrom(*client, result); });
  state_.upstreams.Release(upstream, reservation_,
                           result.outcome != CallOutcome::kNotSent,
                           BootClock::now());
  contain([&] { LearnFromConnection(*client, result); });
  RecordEnd();
  connection_silent_ = connection_silent_ || result.connection_silent;
  contain([&] { KeepConnection(client, result); });
  callback(result);
}

void UpstreamAttempt::LearnFrom(const HttpClient& client,
                                const CallResult& result) {
  const bool answered = result.outcome == CallOutcome::kAnswered;
  if (answered) {
    state_.send_stages.Add(SendStage::kChoiceToSend, result.send_delay);
    state_.send_stages.Add(SendStage::kSendToAnswer, result.answer_delay);
  }
  RecordVersionOutcome(OutcomeOf(state_.headers, result));
  if (answered) {
    OnResponse(result.response);
  }
  ReportReach(client, result);
}

void UpstreamAttempt::LearnFromConnection(const HttpClient& client,
                                          const CallResult& result) {
  CountAbort(result);
  if (WasStaleConnection(result)) {
    failure_counts_ = false;
    state_.connection_pool.OnStaleConnection(pick_.upstream->info, *idle_time_,
                                             BootClock::now());
  }
  if (result.connection_silent && !connection_silent_) {
    ReportSilentConnection(client);
  }
}

void UpstreamAttempt::KeepConnection(const HttpClientPtr& client,
                                     const CallResult& result) {
  UpstreamState& upstream = *pick_.upstream;
  if (const auto opened = client->connect_time()) {
    state_.picker.OnConnected(upstream, *opened);
  }
  if (result.outcome == CallOutcome::kAnswered) {
    state_.connection_pool.Release(upstream.info.id, client);
  }
}

// A connection attempt that ended early because the request had little time
// left shows nothing.
void UpstreamAttempt::ReportReach(const HttpClient& client,
                                  const CallResult& result) const {
  const Time now = BootClock::now();
  if (result.outcome == CallOutcome::kAnswered) {
    state_.reach.OnContact(client.opened_at(), now);
    return;
  }
  const bool had_little_time =
      connect_timeout_ < kMinSilence && now - sent_at_ >= connect_timeout_;
  const bool failed =
      (result.outcome == CallOutcome::kNotSent && !had_little_time) ||
      (result.outcome == CallOutcome::kConnectionLost &&
       result.received_bytes == 0);
  if (!idle_time_ && failed) {
    state_.reach.OnConnectionFailed(pick_.upstream->info, now);
  }
}

void UpstreamAttempt::OnResponse(const HttpResponse& response) {
  const Time now = BootClock::now();
  UpstreamState& upstream = *pick_.upstream;
  upstream.health.OnResponse(now);
  const auto load = ParseLoadReport(state_.headers, response);
  if (load) {
    upstream.load.OnReport(*load, now);
  }
  RecordUnknownHeaders(response.headers);
  ApplyStatements(state_, {pick_.upstream, response, sent_at_});
  if (response.status == http_status::kMisdirected) {
    return;
  }
  const bool is_error = IsErrorStatus(response.status);
  // An upstream without a free slot is left alone for its load.
  const bool is_full = load && load->running >= load->slots;
  if (!is_error || !is_full) {
    state_.picker.OnOutcome(upstream, is_error, now);
  }
  if (!is_error) {
    upstream.backoff.OnAccepted(sent_at_);
  }
}

void UpstreamAttempt::RecordUnknownHeaders(const HttpHeaders& headers) {
  for (const HttpHeader& header : state_.unknown_headers.FindNew(headers)) {
    state_.events.Record(EventCode::kAnswerFieldUnknown,
                         pick_.upstream->info.id,
                         header.name + ": " + header.value);
  }
}

// Whether the upstream had dropped a reused connection while the connection was
// idle: the connection was lost before any byte of an answer, and in less than
// half of the expected latency. This is no failure of the upstream.
bool UpstreamAttempt::WasStaleConnection(const CallResult& result) const {
  const Duration elapsed = BootClock::now() - sent_at_;
  return idle_time_ && result.outcome == CallOutcome::kConnectionLost &&
         !result.closed_locally && !result.connection_silent &&
         result.received_bytes == 0 && elapsed < pick_.expected_latency / 2;
}

void UpstreamAttempt::CountAbort(const CallResult& result) {
  if (result.fault) {
    state_.metrics.OnBrokenAnswer(*result.fault);
  }
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

void UpstreamAttempt::AbortUnreachable() {
  if (MayHaveSent()) {
    state_.metrics.OnAborted(AbortCause::kSilentConnection);
  }
  client_->ResetOnClose();
  Withdraw();
}

void UpstreamAttempt::Withdraw() {
  const bool may_have_sent = MayHaveSent();
  const HttpClientPtr client = std::exchange(client_, nullptr);
  state_.upstreams.Release(*pick_.upstream, reservation_, may_have_sent,
                           BootClock::now());
  if (client) {
    client->Cancel();
  }
  RecordVersionOutcome(AttemptOutcome::kWithdrawn);
  RecordEnd();
}

SendBlock UpstreamAttempt::BlockBeforeSending(Time now) {
  return state_.upstreams.Reserve(*pick_.upstream, reservation_, now);
}

bool UpstreamAttempt::IsUpstreamSilent(Time now) const {
  if (!client_ || now - sent_at_ < kMinSilence) {
    return false;
  }
  return !client_->MayHaveSent() || client_->HasUnacknowledgedBytes() ||
         pick_.upstream->health.IsSilent(now);
}

bool UpstreamAttempt::DetectSilence() {
  if (connection_silent_ || !client_) {
    return connection_silent_;
  }
  connection_silent_ = BootClock::now() - sent_at_ >= kMinSilence &&
                       client_->HasUnacknowledgedBytes();
  if (connection_silent_) {
    ReportSilentConnection(*client_);
    // The silent request no longer counts as in flight: the upstream itself may
    // still answer other requests.
    pick_.upstream->health.OnEnded();
  }
  return connection_silent_;
}

void UpstreamAttempt::ReportSilentConnection(const HttpClient& client) {
  failure_counts_ = state_.connection_pool.OnSilentConnection(
      pick_.upstream->info.id, client, BootClock::now());
}

void UpstreamAttempt::RecordVersionOutcome(AttemptOutcome outcome) {
  if (std::exchange(is_version_counted_, false)) {
    const UpstreamInfo& upstream = pick_.upstream->info;
    state_.version_stats.OnEnded(upstream.service, upstream.version, outcome,
                                 BootClock::now() - sent_at_);
  }
}

void UpstreamAttempt::RecordEnd() {
  if (connection_silent_) {
    pick_.upstream->health.OnEndReverted();
  }
  state_.OnAttemptEnded(*pick_.upstream);
}

bool UpstreamAttempt::IsBusy() const {
  return pick_.upstream->health.HasAnsweredSince(sent_at_);
}

void UpstreamAttempt::CountFailure() {
  if (failure_counts_) {
    state_.OnAttemptFailed(*pick_.upstream);
  }
}

void UpstreamAttempt::CountMissingAnswer() {
  if (IsBusy() || state_.reach.IsIsolated()) {
    return;
  }
  const Time now = BootClock::now();
  state_.picker.OnNoAnswer(*pick_.upstream, pick_, now - sent_at_, now);
  CountFailure();
}

}  // namespace pathcleat
