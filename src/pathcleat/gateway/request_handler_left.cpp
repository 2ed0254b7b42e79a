// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// What a call does once its caller has left.

#include "pathcleat/gateway/request_handler.hpp"
#include "pathcleat/http/http_status.hpp"

namespace pathcleat {

// Repeatable work is cancelled at the upstream, and what has not been sent is
// taken back, also the rest of a body. Other work that an upstream has whole
// runs to its end, as nobody could tell afterwards how far it had come.
void RequestHandler::CancelAttempt(AbortCause cause) {
  if (attempt_.IsInFlight() &&
      (route_->repeatable || !attempt_.IsFullySent())) {
    if (!attempt_.MayHaveSent()) {
      runs_.OnNotRun();
    }
    attempt_.Cancel(cause);
  }
}

// Nothing more is started. A caller that has only ended its side of the
// connection is still answered, with what can be told truthfully.
void RequestHandler::OnCallerLeft() {
  if (done_ || left_) {
    return;
  }
  left_ = true;
  trace_.Note(EventCode::kCallerLeft, {});
  const bool was_sent = attempt_.MayHaveSent();
  CancelAttempt(AbortCause::kCallerLeft);
  if (attempt_.IsInFlight()) {
    state_.metrics.OnCallerLeft(AbandonedWork::kRunsOn);
    trace_.Flush();
    return;
  }
  state_.metrics.OnCallerLeft(was_sent ? AbandonedWork::kCancelled
                                       : AbandonedWork::kNotStarted);
  EndForCallerLeft();
}

void RequestHandler::EndForCallerLeft() {
  if (runs_.MayHaveRun()) {
    AnswerUnknown(http_status::kBadGateway, "the caller has left");
  } else {
    Refuse(Duration::zero(), "caller_left");
  }
}

}  // namespace pathcleat
