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
  if (!attempt_.IsInFlight()) {
    return;
  }
  const std::string reason = BlockBeforeSending(now);
  if (!reason.empty()) {
    Withdraw(reason, now);
  }
}

// Returns why the request may not be sent any more; empty if it may.
std::string RequestHandler::BlockBeforeSending(Time now) {
  if (!MayStart()) {
    return "this host stops before the request's deadline";
  }
  if (!is_crash_trial_ && DecideOnCrashes(now).blocked) {
    return "upstreams ended under the request";
  }
  if (!state_.MaySendToVersion(pick_request_.service,
                               attempt_.pick().upstream->info.version, now)) {
    return "the upstream's version gets no new requests any more";
  }
  const SendBlock block = attempt_.BlockBeforeSending(now);
  return block == SendBlock::kNone ? "" : ToText(block);
}

void RequestHandler::Withdraw(const std::string& reason, Time now) {
  failover_timer_.cancel();
  trace_.NoteFailed(attempt_.pick().upstream->info.id, reason,
                    now - attempt_.sent_at());
  ++unsent_count_;
  run_tracker_.OnNotRun();
  attempt_.Withdraw();
  RetryOrGiveUp();
}

}  // namespace pathcleat
