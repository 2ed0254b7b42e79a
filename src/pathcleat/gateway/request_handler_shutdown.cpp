// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// Handling of requests while the host is shutting down.

#include "pathcleat/gateway/request_handler.hpp"
#include "pathcleat/http/http_status.hpp"

namespace pathcleat {
namespace {

// Other hosts accept the request at once, so a longer delay would only use up
// the caller's target latency.
constexpr Duration kRetryElsewhere{10'000};

}  // namespace

// Returns the time left for the work of an upstream; a shutdown may shorten it.
Duration RequestHandler::TimeLeft() const {
  return state_.shutdown.WorkDeadline(deadline_) - BootClock::now();
}

// Whether a shutdown leaves the request the time that its caller and its route
// allow.
bool RequestHandler::MayStart() const {
  return state_.shutdown.MayStart(deadline_);
}

Pick RequestHandler::ChooseUpstream() {
  if (!MayStart()) {
    Pick pick;
    pick.failure = PickFailure::kHostStops;
    pick.retry_after = kRetryElsewhere;
    return pick;
  }
  if (auto blocked_pick = MakeBlockedPick(BootClock::now())) {
    return *blocked_pick;
  }
  pick_request_.time_left = TimeLeft();
  const Time now = BootClock::now();
  const std::string& service = pick_request_.service;
  pick_request_.versions = state_.VersionRuleFor(
      service, {attempt_count_ == 0, pick_request_.key}, now);
  Pick pick = state_.picker.Choose(pick_request_, now);
  if (!pick.upstream && pick_request_.versions &&
      !pick_request_.versions->required_version.empty()) {
    // Upstreams of the version under trial have no free capacity. The request
    // is not refused for that reason: any allowed version may serve it.
    pick_request_.versions = state_.VersionRuleFor(service, {}, now);
    pick = state_.picker.Choose(pick_request_, now);
  }
  return pick;
}

void RequestHandler::RefuseForShutdown() {
  Refuse(kRetryElsewhere, ReasonOf(PickFailure::kHostStops));
}

void RequestHandler::OnHostShutdown() {
  RunLastStep([this] { EndAtShutdown(); });
}

// Called at the final answer time of the shutdown, when no time is left for the
// upstream's work. The caller is told that the request may have run, which is
// true whether or not the upstream goes on with the work.
void RequestHandler::EndAtShutdown() {
  if (done_) {
    return;
  }
  state_.metrics.OnGivenUpAtShutdown();
  trace_.NoteGivenUp(exchange_->received_at(), attempt_,
                     deadline_ - BootClock::now());
  CancelAttempt(AbortCause::kHostStops);
  if (run_tracker_.MayHaveRun()) {
    AnswerUnknown(http_status::kGatewayTimeout,
                  "the host ends before the answer");
  } else {
    RefuseForShutdown();
  }
}

}  // namespace pathcleat
