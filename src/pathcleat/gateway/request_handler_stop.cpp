// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
// What a call does otherwise while its host is being stopped.

#include "pathcleat/gateway/request_handler.hpp"
#include "pathcleat/http/http_status.hpp"

namespace pathcleat {
namespace {

// Other hosts take the request at once: there is nothing to wait for, and a
// caller that waits loses that time of its target.
constexpr Duration kRetryElsewhere{10'000};

}  // namespace

// Time that an upstream may be given.
Duration RequestHandler::Left() const {
  return state_.shutdown.WorkDeadline(deadline_) - BootClock::now();
}

// A claim is a write that must be undone if the work is not begun, so it is
// made only if there is time for all that the target allows.
bool RequestHandler::MayClaim() const {
  return !state_.shutdown.ShortensDeadline(deadline_) ||
         Left() >= route_->target_latency;
}

Pick RequestHandler::ChooseNow() {
  if (auto kept = KeptFromUpstreams(BootClock::now())) {
    return *kept;
  }
  request_.time_left = Left();
  Rollout* rollout = state_.rollouts.Find(request_.service);
  request_.versions =
      rollout == nullptr ? nullptr : rollout->RuleFor(attempts_ == 0);
  const Time now = BootClock::now();
  Pick pick = state_.picker.Choose(request_, now);
  if (!pick.upstream && request_.versions &&
      !request_.versions->required_version.empty()) {
    // What is tried has no room: that is no reason to refuse.
    request_.versions = rollout->RuleFor(false);
    pick = state_.picker.Choose(request_, now);
  }
  const ShutdownSchedule& stop = state_.shutdown;
  const bool too_late =
      pick.failure == PickFailure::kTooLate && stop.ShortensDeadline(deadline_);
  const WorkTimes times{pick.expected_latency, route_->target_latency,
                        route_->repeatable};
  const bool may_begin = !pick.upstream || stop.MayStart(times, deadline_, now);
  if (too_late || !may_begin) {
    pick.upstream = nullptr;
    pick.failure = PickFailure::kHostStops;
    pick.retry_after = kRetryElsewhere;
  }
  return pick;
}

void RequestHandler::RefuseForStop() {
  Refuse(kRetryElsewhere, ReasonOf(PickFailure::kHostStops));
}

// An upstream at work has had all the time there is. What its caller is told
// is true also if the work goes on.
void RequestHandler::OnHostShutdown() {
  const auto self = shared_from_this();
  if (done_) {
    return;
  }
  state_.metrics.OnGivenUpAtShutdown();
  CancelAttempt(AbortCause::kHostStops);
  if (runs_.MayHaveRun()) {
    AnswerUnknown(http_status::kGatewayTimeout,
                  "the host ends before the answer");
  } else {
    RefuseForStop();
  }
}

}  // namespace pathcleat
