// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Forwards a request to another host if this host does not reach the upstreams.

#include <algorithm>

#include "pathcleat/fleet/forward_target.hpp"
#include "pathcleat/gateway/request_handler.hpp"
#include "pathcleat/http/http_status.hpp"

namespace pathcleat {
namespace {

// Hosts that may be asked for one request: a second one if the first cannot be
// reached or declines.
constexpr std::size_t kMaxTargets = 2;
// Other hosts do not reach the service either: nothing is forwarded for it for
// this long.
constexpr Duration kUselessTtl{1'000'000};
constexpr const char* kIsolatedReason = "isolated";
constexpr const char* kNoUpstreamReason = "no_upstream";

std::optional<RunOutcome> OutcomeOf(const HttpResponse& response) {
  const auto text = FindHeader(response.headers, kOutcomeHeader);
  for (const RunOutcome outcome :
       {RunOutcome::kAnswered, RunOutcome::kNotRun, RunOutcome::kUnknown}) {
    if (text == ToString(outcome)) {
      return outcome;
    }
  }
  return std::nullopt;
}

}  // namespace

// A request may be forwarded only once, so that it does not go round between
// hosts. A request that may have run is forwarded only if it is repeatable.
bool RequestHandler::MayForward() const {
  const bool has_attempts_left =
      attempt_count_ < route_->max_attempts || state_.reach.IsIsolated();
  return !forwarded_ && !done_ && !caller_left_ && !state_.leaving &&
         !state_.fleet_key.empty() && has_attempts_left &&
         forward_targets_.size() < kMaxTargets && TimeLeft() > kMinTimeLeft &&
         (route_->repeatable || !run_tracker_.MayHaveRun()) &&
         state_.settings.policy.IsEnabled(Mechanism::kForwarding);
}

const HostEntry* RequestHandler::ChooseForwardTarget() const {
  const std::optional<std::string> caller_region =
      state_.client_regions.RegionOf(exchange_->caller_ip());
  const auto may_enter = [&](const std::string& region) {
    return pick_request_.MayRunIn(region) || region == caller_region;
  };
  return pathcleat::ChooseForwardTarget(
      state_.hosts,
      {state_.routes.version(), may_enter, forward_targets_,
       state_.forwards.in_flight, state_.forwards.sent},
      BootClock::now());
}

// Whether no upstream is left for the request because this host does not reach
// those that would be open to it.
bool RequestHandler::LacksReachableUpstream() const {
  const Time now = BootClock::now();
  const auto& upstreams = state_.upstreams.ForService(pick_request_.service);
  return std::any_of(upstreams.begin(), upstreams.end(),
                     [this, now](const UpstreamPtr& upstream) {
                       return pick_request_.MayRunIn(upstream->region) &&
                              state_.upstreams.IsOpen(*upstream) &&
                              !upstream->health.MayTry(now);
                     });
}

// Whether other hosts did not reach the service either when a request for it
// was last forwarded.
bool RequestHandler::IsForwardingUseless() const {
  const auto useless =
      state_.forwards.useless_until.find(pick_request_.service);
  return useless != state_.forwards.useless_until.end() &&
         BootClock::now() < useless->second;
}

// Forwards the request if this host is isolated.
bool RequestHandler::ForwardIfIsolated() {
  return state_.reach.IsIsolated() && TryForward(kIsolatedReason);
}

// Forwards the request after this host has found no upstream for it.
bool RequestHandler::ForwardAfterFailure() {
  if (state_.reach.IsIsolated()) {
    return TryForward(kIsolatedReason);
  }
  const bool out_of_reach =
      unsent_count_ >= kMaxUnsentAttempts || LacksReachableUpstream();
  return out_of_reach && !IsForwardingUseless() &&
         TryForward(kNoUpstreamReason);
}

// A forwarded request that may have run before counts as a retry.
bool RequestHandler::TryForward(const char* reason) {
  const HostEntry* target = MayForward() ? ChooseForwardTarget() : nullptr;
  if (target == nullptr ||
      (attempt_count_ > 0 &&
       !state_.RetryBudgetOf(pick_request_.service).TryAcquire())) {
    return false;
  }
  ForwardTo(target->info, reason);
  return true;
}

void RequestHandler::ForwardTo(const HostInfo& target, const char* reason) {
  forward_targets_.insert(target.name);
  retried_ = true;
  ++state_.forwards.sent;
  run_tracker_.OnSent();
  trace_.Note(EventCode::kRequestForwarded,
              {{field::kPeer, target.name},
               {field::kReason, std::string(reason)},
               IntegerField(field::kAttempt, attempt_count_ + unsent_count_),
               MillisecondsField(field::kLeftMs, TimeLeft())});
  ForwardContext context;
  context.from_host = state_.settings.host;
  context.caller_ip = exchange_->caller_ip();
  context.account = account_ ? account_->name : "";
  context.service = pick_request_.service;
  context.caller_timeout_us = pick_request_.caller_timeout.count();
  context.time_left_us = TimeLeft().count();
  context.attempts_left = std::max(1, route_->max_attempts - attempt_count_);
  forward_.Start(target, exchange_->request(), request_id_, context,
                 deadline_ - BootClock::now(),
                 [self = shared_from_this()](const CallResult& result) {
                   self->RunStep([&] { self->OnForwardResult(result); });
                 });
}

void RequestHandler::OnForwardResult(const CallResult& result) {
  const bool answered = result.outcome == CallOutcome::kAnswered;
  const auto decline =
      answered ? FindHeader(result.response.headers, kForwardDeclinedHeader)
               : std::nullopt;
  const bool declined = decline.has_value();
  if (result.outcome == CallOutcome::kNotSent || declined) {
    run_tracker_.OnNotRun();
    NoteForwardFailed(declined ? result.response.body.str() : result.detail);
    // That the other host stops says nothing about the service.
    if (declined && decline != kDeclinedByStoppingHost &&
        !state_.reach.IsIsolated()) {
      state_.forwards.useless_until[pick_request_.service] =
          BootClock::now() + kUselessTtl;
    }
    if (done_ || !TryForward(kIsolatedReason)) {
      GiveUp(ChooseUpstream());
    }
    return;
  }
  const auto outcome = answered ? OutcomeOf(result.response) : std::nullopt;
  if (!outcome) {
    ++attempt_count_;
    NoteForwardFailed(answered ? "no answer of a host" : result.detail);
    GiveUp(ChooseUpstream());
    return;
  }
  AnswerForwarded(result.response, *outcome);
}

// Answers with what the other host answered. What that host knows to be not run
// may still have run in an attempt of this host.
void RequestHandler::AnswerForwarded(HttpResponse response,
                                     RunOutcome outcome) {
  if (outcome == RunOutcome::kNotRun) {
    run_tracker_.OnNotRun();
    ReleaseQuota();
    if (run_tracker_.MayHaveRun()) {
      GiveUp(ChooseUpstream());
      return;
    }
  }
  response.headers = EndToEndHeaders(response.headers);
  std::erase_if(response.headers, [](const HttpHeader& header) {
    return header.name == kOutcomeHeader;
  });
  Answer(std::move(response), outcome);
}

void RequestHandler::NoteForwardFailed(const std::string& detail) {
  trace_.Note(EventCode::kForwardFailed,
              {{field::kPeer, forward_.target().name},
               {field::kDetail, detail},
               MillisecondsField(field::kElapsedMs,
                                 BootClock::now() - forward_.sent_at())});
}

void RequestHandler::OnHostIsolated() {
  RunStep([this] { MoveToReachableHost(); });
}

// Moves the request to another host if its upstream is out of reach. Work that
// may not be repeated is moved only if nothing of it was written: without an
// acknowledgement it may have arrived all the same.
void RequestHandler::MoveToReachableHost() {
  const bool unsent = attempt_.IsInFlight() && !attempt_.MayHaveSent();
  const bool can_move = unsent || (route_->repeatable &&
                                   attempt_.IsUpstreamSilent(BootClock::now()));
  if (!can_move || !MayForward() || ChooseForwardTarget() == nullptr) {
    return;
  }
  failover_timer_.cancel();
  trace_.NoteFailed(attempt_.pick().upstream->info.id,
                    "this host reaches no upstream",
                    BootClock::now() - attempt_.sent_at());
  attempt_.AbortUnreachable();
  if (unsent) {
    ++unsent_count_;
    run_tracker_.OnNotRun();
  } else {
    ++attempt_count_;
  }
  if (!TryForward(kIsolatedReason)) {
    GiveUp(ChooseUpstream());
  }
}

}  // namespace pathcleat
