// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/request_handler.hpp"

#include <algorithm>
#include <utility>

#include "pathcleat/calls/failover_timeout.hpp"
#include "pathcleat/calls/pick_request.hpp"
#include "pathcleat/calls/upstream_protocol.hpp"
#include "pathcleat/core/hash.hpp"
#include "pathcleat/core/request_id.hpp"
#include "pathcleat/http/http_status.hpp"

namespace pathcleat {
namespace {

constexpr int kMostUnsent = 3;
// How often a wait that is over its patience is looked at again; chosen, not
// measured beside other values.
constexpr Duration kPatienceRecheck{250'000};
constexpr Duration kLeastTimeLeft{10'000};
// An answer that takes so many times its target is worth explaining.
constexpr int kSlowMultiple = 3;
// An answer that takes so many times what work with a new key takes is as good
// as a failure to its caller. Run times of one kind vary by a half.
constexpr int kFarTooSlow = 2;
constexpr const char* kOutcomeHeader = "Pathcleat-Outcome";

}  // namespace

RequestHandler::RequestHandler(GatewayState& state,
                               HttpExchangePtr exchange,
                               std::shared_ptr<const Route> route,
                               std::shared_ptr<const Account> account)
    : state_(state),
      exchange_(std::move(exchange)),
      route_(std::move(route)),
      account_(std::move(account)),
      deadline_timer_(state.loop),
      patience_timer_(state.loop),
      attempt_(state),
      key_(state),
      trace_(state) {
  ++state_.in_flight_count;
  state_.in_flight_requests.Add(*this);
  const HttpHeaders& headers = exchange_->request().headers;
  const std::uint64_t incarnation = state_.hosts.self().incarnation;
  request_id_ =
      FindHeader(headers, state_.headers.request_id)
          .value_or(ToString(RequestId{incarnation, state_.next_request++, 0}));
  trace_.SetRequest(request_id_);
  request_ = MakePickRequest(state_.headers, *exchange_, *route_, request_id_);
  request_.account = account_.get();
  const Duration allowed = std::min(route_->timeout, request_.caller_timeout);
  deadline_ = exchange_->received_at() + allowed;
}

void RequestHandler::Start() {
  const auto on_left = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCallerLeft();
    }
  };
  exchange_->OnAbandoned(on_left);
  exchange_->OnCallerHalfClosed(on_left);
  Arm(deadline_timer_, deadline_ - BootClock::now(),
      &RequestHandler::OnDeadline);
  request_.service =
      state_.splits.Choose(*route_, ToUnitInterval(request_.key));
  state_.RetryBudgetOf(request_.service).OnFirstAttempt();
  trace_.NoteAccepted(*exchange_, request_, Left());
  // On a host that is behind, callers give up before they are read.
  exchange_->CheckConnection();
  if (left_ || !TakeQuota()) {
    return;
  }
  if (!route_->repeatable && IdempotencyGuard::HasKey(exchange_->request())) {
    ClaimKey();
  } else {
    Attempt();
  }
}

void RequestHandler::Arm(boost::asio::steady_timer& timer,
                         Duration wait,
                         void (RequestHandler::*step)()) {
  timer.expires_after(wait);
  timer.async_wait(
      [weak = weak_from_this(), step](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self) {
          (self.get()->*step)();
        }
      });
}

void RequestHandler::ClaimKey() {
  if (!MayClaim()) {
    RefuseForStop();
    return;
  }
  key_.Claim(request_.service, exchange_->request(), Left(),
             [self = shared_from_this()](const IdempotencyDecision& decision) {
               self->OnKey(decision);
             });
}

void RequestHandler::OnKey(const IdempotencyDecision& decision) {
  if (!decision.may_run) {
    Answer(decision.answer, decision.outcome);
    return;
  }
  exchange_->CheckConnection();
  if (done_) {
    key_.RecordOutcome({}, RunOutcome::kNotRun);
    return;
  }
  Attempt();
}

Duration RequestHandler::ReturnAfter(const Pick& next) {
  return next.upstream
             ? state_.picker.RetryDelay(request_, next, BootClock::now())
             : next.retry_after;
}

void RequestHandler::Attempt() {
  const Pick pick = ChooseNow();
  if (pick.failure == PickFailure::kNone) {
    Send(pick);
    return;
  }
  Refuse(pick.retry_after, ReasonOf(pick.failure), &pick);
}

// A repeatable request leaves an upstream that stays silent for far longer
// than expected, if another one would have it and time is left. Else it waits
// on: a work that is under way may still be answered.
void RequestHandler::ArmPatience(Duration patience) {
  if (state_.settings.policy.IsEnabled(Mechanism::kPatience)) {
    Arm(patience_timer_, patience, &RequestHandler::OnPatienceOver);
  }
}

// A host that is being stopped leaves work where it is.
bool RequestHandler::MayGoElsewhere() const {
  return !done_ && attempt_.IsInFlight() && !state_.leaving &&
         attempts_ + 1 < route_->max_attempts && Left() > kMinAttemptTime;
}

void RequestHandler::OnPatienceOver() {
  const bool silent = attempt_.DetectSilence();
  if (!route_->repeatable || !MayGoElsewhere()) {
    return;
  }
  // One that answers others is busy: what it has begun would be thrown away.
  Pick next = attempt_.IsBusy() && !silent ? Pick() : ChooseNow();
  if (!next.upstream && silent) {
    request_.excluded.erase(attempt_.pick().upstream->info.id);
    next = ChooseNow();
  }
  if (!next.upstream || !state_.RetryBudgetOf(request_.service).TryAcquire()) {
    ArmPatience(kPatienceRecheck);
    return;
  }
  trace_.NoteFailed(attempt_.pick().upstream->info.id,
                    silent ? "the connection is silent"
                           : "no answer for far longer than expected",
                    BootClock::now() - attempt_.sent_at());
  ++attempts_;
  attempt_.NoteNoAnswer();
  NoteVersion(attempt_.pick(), true);
  CancelAttempt(AbortCause::kFailoverTimeout);
  Retry(next);
}

void RequestHandler::Retry(const Pick& next) {
  retried_ = true;
  trace_.Note(EventCode::kRequestRetried,
              {{field::kUpstream, next.upstream->info.id}});
  Send(next);
}

void RequestHandler::Send(const Pick& pick) {
  const Duration left = Left();
  if (left < kLeastTimeLeft) {
    OnDeadline();
    return;
  }
  const std::string& upstream = pick.upstream->info.id;
  trace_.NoteSent(pick, attempts_ + unsent_ + 1, BootClock::now());
  state_.metrics.OnSent(pick.expected_wait);
  request_.excluded.insert(upstream);
  runs_.OnSent();
  NoteCrashTrial();
  attempt_.Start(
      pick, request_.key, exchange_->request(),
      {request_id_, account_.get(), state_.accounts.RequiresKeys(),
       route_->repeatable},
      {left, deadline_ - BootClock::now()}, [this] { OnOpened(); },
      [self = shared_from_this()](const CallResult& result) {
        self->OnResult(result);
      });
  ArmPatience(FailoverTimeoutFor(pick.expected_latency, left));
}

void RequestHandler::OnResult(const CallResult& result) {
  patience_timer_.cancel();
  const Pick pick = attempt_.pick();
  const Time sent = attempt_.sent_at();
  UpstreamState& upstream = *pick.upstream;
  if (result.outcome != CallOutcome::kAnswered) {
    trace_.NoteFailed(upstream.info.id, result.detail, BootClock::now() - sent);
  }
  switch (result.outcome) {
    case CallOutcome::kAnswered:
      OnAnswer(pick, sent, result);
      return;
    case CallOutcome::kNotSent:
      ++unsent_;
      runs_.OnNotRun();
      state_.OnAttemptFailed(upstream);
      RetryOrGiveUp();
      return;
    case CallOutcome::kConnectionLost:
    case CallOutcome::kTimedOut:
      ++attempts_;
      NoteEndedUnder(result);
      NoteVersion(pick, true);
      attempt_.NoteFailed();
      OnFailure(result);
      return;
  }
}

void RequestHandler::OnAnswer(const Pick& pick,
                              Time sent,
                              const CallResult& result) {
  ++attempts_;
  const Time now = BootClock::now();
  UpstreamState& upstream = *pick.upstream;
  if (IsNotRun(state_.headers, result.response)) {
    runs_.OnNotRun();
    if (result.response.status == http_status::kMisdirected) {
      // Another upstream has the address now; the list will say so.
      state_.OnAttemptFailed(upstream);
    }
    ++upstream.not_run;
    trace_.Note(EventCode::kAttemptNotRun,
                {{field::kUpstream, upstream.info.id},
                 IntegerField(field::kStatus, result.response.status)});
    RetryOrGiveUp();
    return;
  }
  if (!IsCompleteAnswer(state_.headers, result.response)) {
    state_.OnAttemptFailed(upstream);
    NoteVersion(pick, true);
    OnFailure(
        {CallOutcome::kConnectionLost, {}, "the answer lacks its signature"});
    return;
  }
  if (upstream.health.IsSuspect()) {
    state_.events.Record(EventCode::kUpstreamUp, upstream.info.id, "");
  }
  NoteRunEnded();
  upstream.health.OnSuccess();
  NoteVersion(pick,
              result.response.status >= http_status::kInternalError ||
                  now - sent > pick.expected_latency_if_cold * kFarTooSlow);
  const auto report = ParseLoadReport(state_.headers, result.response);
  const AnswerMeasurements facts{now - sent, result.response.body.size(),
                                 report && report->waiting > 0};
  state_.picker.OnAnswer(upstream, request_, pick, facts, now);
  HttpResponse response = result.response;
  response.headers = EndToEndHeaders(response.headers);
  Answer(std::move(response), RunOutcome::kAnswered);
}

// What an upstream that is starting, or in need, takes says nothing of its
// version.
void RequestHandler::NoteVersion(const Pick& pick, bool bad) {
  const UpstreamState& upstream = *pick.upstream;
  Rollout* rollout = state_.rollouts.Find(upstream.info.service);
  if (rollout != nullptr && !upstream.IsRateBounded(BootClock::now())) {
    rollout->OnAnswer(upstream.info.version, StableHash(route_->name), bad);
  }
}

void RequestHandler::OnFailure(const CallResult& result) {
  if (done_) {
    key_.RecordOutcome({}, RunOutcome::kUnknown);
    return;
  }
  if (route_->repeatable) {
    RetryOrGiveUp();
  } else {
    AnswerUnknown(http_status::kBadGateway,
                  "the request may have run: " + result.detail);
  }
}

bool RequestHandler::MayRetry() {
  if (attempts_ == 0) {
    return unsent_ < kMostUnsent;
  }
  return attempts_ < route_->max_attempts && unsent_ < kMostUnsent &&
         Left() > kLeastTimeLeft &&
         state_.RetryBudgetOf(request_.service).TryAcquire();
}

void RequestHandler::RetryOrGiveUp() {
  exchange_->CheckConnection();
  if (done_) {
    key_.RecordOutcome({}, RunOutcome::kNotRun);
    return;
  }
  if (left_) {
    EndForCallerLeft();
    return;
  }
  const Pick next = ChooseNow();
  if (next.upstream && MayRetry()) {
    Retry(next);
    return;
  }
  const bool crashes = next.failure == PickFailure::kCrashesUpstreams;
  if (!runs_.MayHaveRun()) {
    Refuse(ReturnAfter(next), crashes ? ReasonOf(next.failure) : "no_upstream");
    return;
  }
  AnswerUnknown(http_status::kBadGateway,
                crashes ? "upstreams ended under it" : "no upstream answered");
}

void RequestHandler::Refuse(Duration retry_after,
                            const std::string& reason,
                            const Pick* best) {
  state_.metrics.OnRefused(reason);
  trace_.NoteRefused(reason, retry_after, *route_, Left(), best);
  GiveQuotaBack();
  Answer(NotRunResponse(reason, retry_after), RunOutcome::kNotRun);
}

void RequestHandler::AnswerUnknown(int status, const std::string& reason) {
  trace_.Note(EventCode::kRequestUnknown,
              {{field::kReason, reason}, IntegerField(field::kStatus, status)});
  Answer(TextResponse(status, reason + "\n"), RunOutcome::kUnknown);
}

void RequestHandler::Answer(HttpResponse response, RunOutcome outcome) {
  key_.RecordOutcome(response, outcome);
  if (done_) {
    return;
  }
  done_ = true;
  deadline_timer_.cancel();
  if (!FindHeader(response.headers, state_.headers.request_id)) {
    response.headers.push_back({state_.headers.request_id, request_id_});
  }
  response.headers.push_back({kOutcomeHeader, ToString(outcome)});
  const Duration latency = BootClock::now() - exchange_->received_at();
  trace_.Note(EventCode::kRequestAnswered,
              {IntegerField(field::kStatus, response.status),
               {field::kOutcome, std::string(ToString(outcome))},
               MillisecondsField(field::kLatencyMs, latency)});
  if (!left_) {
    state_.metrics.Record(route_->name, outcome, latency);
  }
  trace_.Finish(WentWrong(outcome, latency));
  exchange_->Respond(std::move(response));
}

bool RequestHandler::WentWrong(RunOutcome outcome, Duration latency) const {
  return outcome != RunOutcome::kAnswered || retried_ || left_ ||
         latency > route_->target_latency * kSlowMultiple;
}

void RequestHandler::OnDeadline() {
  const auto self = shared_from_this();
  if (done_) {
    return;
  }
  if (attempt_.IsInFlight()) {
    attempt_.NoteNoAnswer();
  }
  CancelAttempt(AbortCause::kDeadline);
  if (runs_.MayHaveRun()) {
    AnswerUnknown(http_status::kGatewayTimeout, "no answer in time");
  } else {
    Refuse(ReturnAfter(ChooseNow()), "time_over");
  }
}

}  // namespace pathcleat
