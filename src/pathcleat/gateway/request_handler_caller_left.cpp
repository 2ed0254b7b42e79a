// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Ends the work on a request whose caller has left.

#include "pathcleat/gateway/request_handler.hpp"
#include "pathcleat/http/http_status.hpp"

namespace pathcleat {

// Cancels repeatable requests at the upstream, and any request that is not
// fully written, including the rest of its body. Other requests that the
// upstream has received in full run to their end: if such a request were
// cancelled, nobody could tell how much of its work was done.
void RequestHandler::CancelAttempt(AbortCause cause) {
  CancelForward();
  if (attempt_.IsInFlight() &&
      (route_->repeatable || !attempt_.IsFullySent())) {
    if (!attempt_.MayHaveSent()) {
      run_tracker_.OnNotRun();
    }
    attempt_.Cancel(cause);
  }
}

void RequestHandler::CancelForward() {
  if (!forward_.IsInFlight() ||
      (!route_->repeatable && forward_.IsFullySent())) {
    return;
  }
  if (!forward_.MayHaveSent()) {
    run_tracker_.OnNotRun();
  }
  forward_.Cancel();
}

// Cancels the attempt if possible and starts no further attempt. A caller that
// has only closed its sending side still gets an answer with the outcome as far
// as it is known.
void RequestHandler::OnCallerLeft() {
  if (done_ || caller_left_) {
    return;
  }
  caller_left_ = true;
  trace_.Note(EventCode::kCallerLeft, {});
  const bool was_sent = attempt_.MayHaveSent() || forward_.MayHaveSent();
  CancelAttempt(AbortCause::kCallerLeft);
  if (IsAnyInFlight()) {
    state_.metrics.OnCallerLeft(AbandonedWork::kRunsOn);
    trace_.Flush();
    return;
  }
  state_.metrics.OnCallerLeft(was_sent ? AbandonedWork::kCancelled
                                       : AbandonedWork::kNotStarted);
  EndAfterCallerLeft();
}

void RequestHandler::EndAfterCallerLeft() {
  if (run_tracker_.MayHaveRun()) {
    AnswerUnknown(http_status::kBadGateway, "the caller has left");
  } else {
    Refuse(Duration::zero(), "caller_left");
  }
}

}  // namespace pathcleat
