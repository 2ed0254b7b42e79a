// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// What a call does once the connection to its upstream has opened.

#include "pathcleat/gateway/request_handler.hpp"

namespace pathcleat {

// The choice is as old as the connection took to open: a second, on a host that
// is behind with its work or whose link is full. What has been learnt meanwhile
// binds, as nothing has been sent.
void RequestHandler::OnOpened() {
  const auto self = shared_from_this();
  const Time now = BootClock::now();
  trace_.NoteOpened(attempt_.pick().upstream->info.id,
                    now - attempt_.sent_at());
  exchange_->CheckConnection();
  if (attempt_.IsInFlight() && !MayStillSend(now)) {
    Withdraw(now);
  }
}

bool RequestHandler::MayStillSend(Time now) {
  const Rollout* rollout = state_.rollouts.Find(request_.service);
  const bool blocked = !on_trial_ && JudgeCrashes(now).blocked;
  return !blocked && attempt_.MayStillSend(now) &&
         (rollout == nullptr ||
          rollout->IsVersionAllowed(attempt_.pick().upstream->info.version));
}

void RequestHandler::Withdraw(Time now) {
  patience_timer_.cancel();
  trace_.NoteFailed(attempt_.pick().upstream->info.id,
                    "it takes nothing new any more", now - attempt_.sent_at());
  ++unsent_;
  runs_.OnNotRun();
  attempt_.Withdraw();
  RetryOrGiveUp();
}

}  // namespace pathcleat
