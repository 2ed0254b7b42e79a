// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Checks the choice of an upstream again once the connection to it has opened.

#include "pathcleat/gateway/request_handler.hpp"

namespace pathcleat {

// If this host is overloaded or its link is saturated, the upstream may have
// been chosen a second ago. Nothing has been sent yet, so updates received
// since the choice are still taken into account.
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
  const Rollout* rollout = state_.rollouts.Find(pick_request_.service);
  const bool blocked = !is_crash_trial_ && DecideOnCrashes(now).blocked;
  return !blocked && attempt_.MayStillSend(now) &&
         (rollout == nullptr ||
          rollout->IsVersionAllowed(attempt_.pick().upstream->info.version));
}

void RequestHandler::Withdraw(Time now) {
  failover_timer_.cancel();
  trace_.NoteFailed(attempt_.pick().upstream->info.id,
                    "upstream accepts no new requests any more",
                    now - attempt_.sent_at());
  ++unsent_count_;
  run_tracker_.OnNotRun();
  attempt_.Withdraw();
  RetryOrGiveUp();
}

}  // namespace pathcleat
