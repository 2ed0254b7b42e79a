// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Ends a request whose handling threw an exception.

#include "pathcleat/gateway/request_handler.hpp"
#include "pathcleat/http/http_status.hpp"

namespace pathcleat {

// The outcome is taken before anything is cancelled: a step that failed halfway
// through a cancellation may have noted already that nothing was sent.
void RequestHandler::EndAfterFailure() {
  const bool may_have_run = run_tracker_.MayHaveRun();
  const RunOutcome outcome =
      may_have_run ? RunOutcome::kUnknown : RunOutcome::kNotRun;
  Contain([this] {
    deadline_timer_.cancel();
    failover_timer_.cancel();
    CancelAttempt(AbortCause::kHandlerFailed);
  });
  Contain([this, outcome] { idempotency_guard_.RecordOutcome({}, outcome); });
  if (done_) {
    return;
  }
  Contain([this, may_have_run] {
    if (may_have_run) {
      AnswerUnknown(http_status::kInternalError, kFailedReason);
    } else {
      Refuse(Duration::zero(), kFailedReason);
    }
  });
  if (!std::exchange(done_, true)) {
    Contain([this] {
      exchange_->Respond(
          TextResponse(http_status::kInternalError, kFailedReason));
    });
  }
}

}  // namespace pathcleat
