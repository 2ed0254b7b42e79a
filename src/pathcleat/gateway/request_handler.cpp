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

// Interval at which a request past its failover time-out checks again for
// another upstream.
constexpr Duration kFailoverRecheckInterval{250'000};
// A request whose answer takes longer than this multiple of the route's target
// latency is logged with its trace.
constexpr int kSlowMultiple = 3;

VersionResponse FailedResponse() {
  VersionResponse response;
  response.failed = true;
  return response;
}

}  // namespace

RequestHandler::RequestHandler(GatewayState& state,
                               HttpExchangePtr exchange,
                               std::shared_ptr<const Route> route,
                               std::shared_ptr<const Account> account,
                               std::optional<ForwardContext> forwarded)
    : state_(state),
      exchange_(std::move(exchange)),
      route_(std::move(route)),
      account_(std::move(account)),
      deadline_timer_(state.loop),
      failover_timer_(state.loop),
      attempt_(state),
      forward_(state),
      forwarded_(std::move(forwarded)),
      idempotency_guard_(state),
      trace_(state) {
  const HttpHeaders& headers = exchange_->request().headers;
  const std::uint64_t incarnation = state_.hosts.self().incarnation;
  request_id_ =
      FindHeader(headers, state_.headers.request_id)
          .value_or(ToString(RequestId{incarnation, state_.next_request++, 0}));
  trace_.SetRequest(request_id_);
  pick_request_ =
      MakePickRequest(state_.headers, *exchange_, *route_, request_id_);
  pick_request_.account = account_.get();
  Duration time_allowed =
      std::min(route_->timeout, pick_request_.caller_timeout);
  if (forwarded_) {
    pick_request_.caller_timeout = Duration(forwarded_->caller_timeout_us);
    time_allowed =
        std::min(route_->timeout, Duration(forwarded_->time_left_us));
    attempt_count_ =
        std::max(0, route_->max_attempts - forwarded_->attempts_left);
  }
  deadline_ = exchange_->received_at() + time_allowed;
  // Counted last: a constructor that throws is followed by no destructor.
  state_.in_flight_requests.Add(*this);
  state_.forwards.received_in_flight += forwarded_ ? 1 : 0;
  ++state_.in_flight_count;
}

RequestHandler::~RequestHandler() {
  if (!done_ && exchange_->IsOpen()) {
    EndAfterFailure();
  }
  --state_.in_flight_count;
  state_.forwards.received_in_flight -= forwarded_ ? 1 : 0;
}

void RequestHandler::Start() {
  RunStep([this] { Begin(); });
}

void RequestHandler::Begin() {
  const auto on_caller_left = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->RunStep([&self] { self->OnCallerLeft(); });
    }
  };
  exchange_->OnAbandoned(on_caller_left);
  exchange_->OnCallerHalfClosed(on_caller_left);
  StartTimer(deadline_timer_, deadline_ - BootClock::now(),
             &RequestHandler::OnDeadline);
  if (forwarded_) {
    pick_request_.service = forwarded_->service;
  } else {
    pick_request_.service =
        state_.splits.Choose(*route_, ToUnitInterval(pick_request_.key));
    state_.RetryBudgetOf(pick_request_.service).OnFirstAttempt();
  }
  trace_.NoteAccepted(*exchange_, pick_request_, TimeLeft());
  if (forwarded_) {
    trace_.Note(EventCode::kForwardTaken,
                {{field::kPeer, forwarded_->from_host},
                 IntegerField(field::kAttempt, attempt_count_),
                 MillisecondsField(field::kLeftMs, TimeLeft())});
  }
  // On an overloaded host, callers may have given up before their requests are
  // read.
  exchange_->CheckConnection();
  if (caller_left_ || !AcquireQuota()) {
    return;
  }
  if (!forwarded_ && !route_->repeatable &&
      IdempotencyGuard::HasKey(exchange_->request())) {
    ClaimKey();
  } else {
    Attempt();
  }
}

void RequestHandler::StartTimer(boost::asio::steady_timer& timer,
                                Duration wait,
                                void (RequestHandler::*step)()) {
  timer.expires_after(wait);
  timer.async_wait(
      [weak = weak_from_this(), step](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self) {
          self->RunStep([&self, step] { (self.get()->*step)(); });
        }
      });
}

void RequestHandler::ClaimKey() {
  if (!MayStart()) {
    RefuseForShutdown();
    return;
  }
  idempotency_guard_.Claim(
      pick_request_.service, exchange_->request(), TimeLeft(),
      [self = shared_from_this()](const IdempotencyDecision& decision) {
        self->RunStep([&] { self->OnKeyDecision(decision); });
      });
}

void RequestHandler::OnKeyDecision(const IdempotencyDecision& decision) {
  if (!decision.may_run) {
    Answer(decision.answer, decision.outcome);
    return;
  }
  RunWhenCaughtUp(&RequestHandler::AttemptWithKey);
}

void RequestHandler::AttemptWithKey() {
  exchange_->CheckConnection();
  if (done_) {
    idempotency_guard_.RecordOutcome({}, RunOutcome::kNotRun);
    return;
  }
  Attempt();
}

// A choice made while the loop is late would go by an old list.
void RequestHandler::RunWhenCaughtUp(void (RequestHandler::*step)()) {
  if (!state_.IsLoopLate(BootClock::now())) {
    (this->*step)();
    return;
  }
  RunAfterPasses(state_.loop, kCatchUpPasses,
                 [self = shared_from_this(), step] {
                   self->RunStep([&self, step] { (self.get()->*step)(); });
                 });
}

Duration RequestHandler::RetryDelayFor(const Pick& next) {
  return next.upstream
             ? state_.picker.RetryDelay(pick_request_, next, BootClock::now())
             : next.retry_after;
}

void RequestHandler::Attempt() {
  if (ForwardIfIsolated()) {
    return;
  }
  const Pick pick = ChooseUpstream();
  if (pick.failure == PickFailure::kNone) {
    Send(pick);
    return;
  }
  if (pick.failure == PickFailure::kNoUpstream && ForwardAfterFailure()) {
    return;
  }
  Refuse(pick.retry_after, ReasonOf(pick.failure), &pick);
}

// A repeatable request fails over if its upstream stays silent for far longer
// than expected, another upstream can accept the request and time is left.
// Otherwise the request keeps waiting, as the upstream may still answer.
void RequestHandler::StartFailoverTimer(Duration timeout) {
  if (state_.settings.policy.IsEnabled(Mechanism::kFailover)) {
    StartTimer(failover_timer_, timeout, &RequestHandler::OnFailoverTimeout);
  }
}

// A host that is shutting down does not fail over.
bool RequestHandler::MayFailOver() const {
  return !done_ && attempt_.IsInFlight() && !state_.leaving &&
         attempt_count_ + 1 < route_->max_attempts &&
         TimeLeft() > kMinAttemptTime;
}

void RequestHandler::OnFailoverTimeout() {
  const bool silent = attempt_.DetectSilence();
  if (!route_->repeatable || !MayFailOver()) {
    return;
  }
  // An upstream that answers other requests is only busy: a failover would
  // throw away the work that it has begun.
  Pick next = attempt_.IsBusy() && !silent ? Pick() : ChooseUpstream();
  if (!next.upstream && silent) {
    pick_request_.excluded.erase(attempt_.pick().upstream->info.id);
    next = ChooseUpstream();
  }
  if (!next.upstream ||
      !state_.RetryBudgetOf(pick_request_.service).TryAcquire()) {
    StartFailoverTimer(kFailoverRecheckInterval);
    return;
  }
  trace_.NoteFailed(attempt_.pick().upstream->info.id,
                    silent ? "the connection is silent"
                           : "no answer for far longer than expected",
                    BootClock::now() - attempt_.sent_at());
  ++attempt_count_;
  attempt_.CountMissingAnswer();
  RecordVersionResult(attempt_.pick(), FailedResponse());
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
  const Duration left = TimeLeft();
  if (left < kMinTimeLeft) {
    OnDeadline();
    return;
  }
  const std::string& upstream = pick.upstream->info.id;
  state_.metrics.OnSent(pick.expected_wait);
  pick_request_.excluded.insert(upstream);
  run_tracker_.OnSent();
  RecordCrashTrial();
  attempt_.Start(
      pick, pick_request_.key, exchange_->request(),
      {request_id_, account_.get(), state_.accounts.RequiresKeys(),
       route_->repeatable},
      {left, deadline_ - BootClock::now()},
      [this] { RunStep([this] { OnOpened(); }); },
      [self = shared_from_this()](const CallResult& result) {
        self->RunStep([&] { self->OnResult(result); });
      });
  trace_.NoteSent(pick, pick_request_.versions,
                  attempt_count_ + unsent_count_ + 1,
                  attempt_.IsOnKeptConnection(), attempt_.sent_at());
  StartFailoverTimer(FailoverTimeoutFor(pick.expected_latency, left));
}

void RequestHandler::OnResult(const CallResult& result) {
  const LoopTurnTimer turn(state_.loop_turns, LoopTask::kUpstreamAnswer);
  failover_timer_.cancel();
  const Pick pick = attempt_.pick();
  const Time sent = attempt_.sent_at();
  UpstreamState& upstream = *pick.upstream;
  if (result.outcome != CallOutcome::kAnswered) {
    trace_.NoteFailed(upstream.info.id, result.detail, BootClock::now() - sent,
                      result.fault);
  }
  switch (result.outcome) {
    case CallOutcome::kAnswered:
      OnAnswer(pick, sent, result);
      return;
    case CallOutcome::kNotSent:
      ++unsent_count_;
      run_tracker_.OnNotRun();
      state_.OnAttemptFailed(upstream);
      RetryOrGiveUp();
      return;
    case CallOutcome::kConnectionLost:
    case CallOutcome::kTimedOut:
      ++attempt_count_;
      ProbeForCrash(result);
      RecordVersionResult(pick, FailedResponse());
      attempt_.CountFailure();
      OnFailure(result);
      return;
  }
}

void RequestHandler::OnAnswer(const Pick& pick,
                              Time sent,
                              const CallResult& result) {
  ++attempt_count_;
  const Time now = BootClock::now();
  UpstreamState& upstream = *pick.upstream;
  trace_.NoteAnswerBegun(upstream.info.id, result);
  if (IsNotRun(state_.headers, result.response)) {
    run_tracker_.OnNotRun();
    if (result.response.status == http_status::kMisdirected) {
      // Another upstream has taken over the address; an update of the upstream
      // list will follow.
      state_.OnAttemptFailed(upstream);
    }
    ++upstream.not_run;
    trace_.NoteNotRun(upstream.info.id, result.response);
    RetryOrGiveUp();
    return;
  }
  if (!IsCompleteAnswer(state_.headers, result.response)) {
    state_.OnAttemptFailed(upstream);
    RecordVersionResult(pick, FailedResponse());
    const std::string detail = "the answer lacks its signature";
    state_.metrics.OnBrokenAnswer(AnswerFault::kUnsigned);
    trace_.NoteFailed(upstream.info.id, detail, now - sent,
                      AnswerFault::kUnsigned);
    OnFailure({CallOutcome::kConnectionLost, {}, detail, {}});
    return;
  }
  if (upstream.health.IsSuspect()) {
    state_.events.Record(EventCode::kUpstreamUp, upstream.info.id, "");
  }
  ReportNoCrash();
  upstream.health.OnSuccess();
  const auto report = ParseLoadReport(state_.headers, result.response);
  VersionResponse response;
  response.failed = result.response.status >= http_status::kInternalError;
  response.full =
      pick.expected_wait > Duration::zero() ||
      (report && (report->waiting > 0 ||
                  (report->slots > 0 && report->running >= report->slots)));
  response.took = now - sent;
  RecordVersionResult(pick, response);
  if (RetryRejected(result.response)) {
    return;
  }
  if (!IsErrorStatus(result.response.status)) {
    // Run times of a version on trial are not learned, so that expected
    // latencies are those of the versions that it is compared with.
    const AnswerMeasurements measurements{
        now - sent, result.response.body.size(),
        (report && report->waiting > 0) || IsOnTrial(upstream)};
    state_.picker.OnAnswer(upstream, pick_request_, pick, measurements, now);
  }
  HttpResponse answer = result.response;
  answer.headers = EndToEndHeaders(answer.headers);
  Answer(std::move(answer), RunOutcome::kAnswered);
}

bool RequestHandler::IsOnTrial(const UpstreamState& upstream) const {
  const Rollout* rollout = state_.rollouts.Find(upstream.info.service);
  return rollout != nullptr && rollout->IsOnTrial(upstream.info.version);
}

// Answers of an upstream that is cold, states a limit or wants no requests say
// nothing about its version, nor do failures while this host may be isolated.
void RequestHandler::RecordVersionResult(const Pick& pick,
                                         VersionResponse response) {
  const UpstreamState& upstream = *pick.upstream;
  Rollout* rollout = state_.rollouts.Find(upstream.info.service);
  const Time now = BootClock::now();
  const bool counts = state_.reach.reach().state() == ReachState::kReachable;
  if (rollout == nullptr || !counts || upstream.IsRateBounded(now) ||
      upstream.backoff.IsInForce(now)) {
    return;
  }
  response.version = upstream.info.version;
  response.route = StableHash(route_->name);
  response.upstream = StableHash(upstream.info.id);
  response.leaves_region = pick.leaves_region;
  response.warm = pick.warmth_evidence.sent_recently;
  response.cold_run = pick.expected_latency_if_cold - pick.expected_wait;
  rollout->OnAnswer(response);
}

void RequestHandler::OnFailure(const CallResult& result) {
  if (done_) {
    idempotency_guard_.RecordOutcome({}, RunOutcome::kUnknown);
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
  if (attempt_count_ == 0) {
    return unsent_count_ < kMaxUnsentAttempts;
  }
  return attempt_count_ < route_->max_attempts &&
         unsent_count_ < kMaxUnsentAttempts && TimeLeft() > kMinTimeLeft &&
         state_.RetryBudgetOf(pick_request_.service).TryAcquire();
}

// An upstream that has no room may answer so without stating that it has not
// run the request. A repeatable request is then sent to another upstream if
// there is one; otherwise the caller gets the answer as it is.
bool RequestHandler::RetryRejected(const HttpResponse& response) {
  if (response.status != http_status::kUnavailable || !route_->repeatable ||
      done_ || caller_left_) {
    return false;
  }
  const Pick next = ChooseUpstream();
  if (!next.upstream || !MayRetry()) {
    return false;
  }
  Retry(next);
  return true;
}

void RequestHandler::RetryOrGiveUp() {
  RunWhenCaughtUp(&RequestHandler::ChooseAgain);
}

void RequestHandler::ChooseAgain() {
  exchange_->CheckConnection();
  if (done_) {
    idempotency_guard_.RecordOutcome({}, RunOutcome::kNotRun);
    return;
  }
  if (caller_left_) {
    EndAfterCallerLeft();
    return;
  }
  if (ForwardIfIsolated()) {
    return;
  }
  const Pick next = ChooseUpstream();
  if (next.upstream && MayRetry()) {
    Retry(next);
    return;
  }
  const bool out_of_reach =
      next.upstream || next.failure == PickFailure::kNoUpstream;
  if (out_of_reach && ForwardAfterFailure()) {
    return;
  }
  GiveUp(next);
}

// Answers the caller, as no further attempt is made.
// @param next the best pick that is left.
void RequestHandler::GiveUp(const Pick& next) {
  if (done_) {
    idempotency_guard_.RecordOutcome({}, run_tracker_.MayHaveRun()
                                             ? RunOutcome::kUnknown
                                             : RunOutcome::kNotRun);
    return;
  }
  if (caller_left_) {
    EndAfterCallerLeft();
    return;
  }
  const bool crashes = next.failure == PickFailure::kCrashesUpstreams;
  if (!run_tracker_.MayHaveRun()) {
    const bool stops = next.failure == PickFailure::kHostStops;
    Refuse(RetryDelayFor(next),
           crashes || stops ? ReasonOf(next.failure) : "no_upstream");
    return;
  }
  AnswerUnknown(http_status::kBadGateway,
                crashes ? "upstreams ended under it" : "no upstream answered");
}

void RequestHandler::Refuse(Duration retry_after,
                            const std::string& reason,
                            const Pick* best) {
  state_.metrics.OnRefused(reason);
  trace_.NoteRefused(reason, retry_after, *route_, TimeLeft(), best);
  ReleaseQuota();
  HttpResponse response = NotRunResponse(reason, retry_after);
  if (forwarded_ && reason == ReasonOf(PickFailure::kNoUpstream)) {
    response.headers.push_back({kForwardDeclinedHeader, "1"});
  }
  Answer(std::move(response), RunOutcome::kNotRun);
}

void RequestHandler::AnswerUnknown(int status, const std::string& reason) {
  trace_.Note(EventCode::kRequestUnknown,
              {{field::kReason, reason}, IntegerField(field::kStatus, status)});
  Answer(TextResponse(status, reason + "\n"), RunOutcome::kUnknown);
}

void RequestHandler::Answer(HttpResponse response, RunOutcome outcome) {
  idempotency_guard_.RecordOutcome(response, outcome);
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
  if (!caller_left_) {
    state_.metrics.Record(route_->name, outcome, latency);
  }
  trace_.Finish(IsUnusual(outcome, latency));
  exchange_->Respond(std::move(response));
}

bool RequestHandler::IsUnusual(RunOutcome outcome, Duration latency) const {
  return outcome != RunOutcome::kAnswered || retried_ || caller_left_ ||
         latency > route_->target_latency * kSlowMultiple;
}

void RequestHandler::OnDeadline() {
  RunLastStep([this] { EndAtDeadline(); });
}

void RequestHandler::EndAtDeadline() {
  if (done_) {
    return;
  }
  if (attempt_.IsInFlight()) {
    attempt_.CountMissingAnswer();
    state_.reach.OnNoAnswer(attempt_.sent_at(), BootClock::now());
  }
  CancelAttempt(AbortCause::kDeadline);
  if (run_tracker_.MayHaveRun()) {
    AnswerUnknown(http_status::kGatewayTimeout, "no answer in time");
  } else {
    Refuse(RetryDelayFor(ChooseUpstream()), "time_over");
  }
}

}  // namespace pathcleat
