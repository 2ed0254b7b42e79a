// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/admission_control.hpp"

#include <algorithm>
#include <optional>

#include "pathcleat/routing/admission.hpp"

namespace pathcleat {
namespace {

constexpr Duration kSecond{1'000'000};

Duration Times(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

// The part of what comes to an upstream that comes by this host.
double OwnShare(const UpstreamState& upstream, Time now) {
  const double own = std::max(1, upstream.load.own_in_flight());
  return own / std::max(own, upstream.load.ExpectedRequests(now));
}

// Requests of one route are of several kinds where accounts differ in urgency.
std::string KindOf(const PickRequest& request) {
  const bool by_account = request.account && request.account->priority;
  return by_account ? request.route->name + " " +
                          std::to_string(*request.account->priority)
                    : request.route->name;
}

// Until the end of the target latency, from the caller's first try on.
Duration TargetLeft(const PickRequest& request, const RequestProfile& profile) {
  return request.route->target_latency -
         profile.usual_deadline.SinceFirstTry(request.caller_timeout);
}

// When an upstream that may not be sent to now may be, if that is known, and
// how far apart.
struct Opening {
  Duration in{0};
  Duration spacing{0};
};

std::optional<Opening> OpeningOf(const UpstreamState& upstream,
                                 Duration usual_run,
                                 Time now) {
  if (const auto retried = upstream.health.RetryTime()) {
    return Opening{*retried - now, usual_run};
  }
  const auto takes = upstream.IsRateBounded(now)
                         ? upstream.rate_share.TimeUntilAvailable(now)
                         : std::nullopt;
  if (takes) {
    return Opening{*takes,
                   Times(kSecond, 1 / upstream.rate_share.rate_per_second())};
  }
  return std::nullopt;
}

}  // namespace

bool AdmissionControl::TryAdmit(const Pick& pick,
                                const PickRequest& request,
                                RequestProfile& profile,
                                Time now) {
  if (!request.excluded.empty()) {
    return true;
  }
  profile.usual_deadline.OnRequest(request.caller_timeout);
  if (!policy_.IsEnabled(Mechanism::kAdmission)) {
    return true;
  }
  AdmissionInput input;
  input.queue_wait = pick.expected_wait;
  input.service_time = pick.expected_latency - pick.expected_wait;
  input.usual_run_time = profile.warmth.RunTime(true);
  input.slots = pick.upstream->info.slots;
  input.target_latency = request.route->target_latency;
  input.target_time_left = TargetLeft(request, profile);
  input.is_retry = input.target_time_left < input.target_latency;
  UrgencyTracker& urgency = urgency_[request.service];
  const std::string kind = KindOf(request);
  if (!input.is_retry) {
    urgency.OnFirstAttempt(kind, request.urgency(), now);
  }
  // Where slots are free, nobody has to yield.
  const bool yields = input.queue_wait > WaitPerQueuedRequest(input) &&
                      urgency.IsOverServed(kind, now);
  if (yields || DecideAdmission(input) == AdmissionDecision::kRefuse) {
    return false;
  }
  urgency.OnSent(kind, now);
  return true;
}

Duration AdmissionControl::RetryDelayForQueue(const Pick& pick,
                                              const PickRequest& request,
                                              const RequestProfile& profile,
                                              Time now) {
  const Duration service = pick.expected_latency - pick.expected_wait;
  const double slots = std::max(1, pick.upstream->info.slots);
  RetryWindow window;
  window.earliest = pick.expected_wait;
  window.latest_in_time = TargetLeft(request, profile) - service;
  window.latest = LatestRetry(request.CallerTimeLeft(), service);
  window.spacing = Times(profile.warmth.RunTime(true),
                         1 / (slots * OwnShare(*pick.upstream, now)));
  return pick.upstream->retry_scheduler.Reserve(window, now);
}

Duration AdmissionControl::RetryDelayForAny(
    const std::vector<UpstreamPtr>& open,
    const PickRequest& request,
    const RequestProfile& profile,
    Time now) {
  const Duration run = profile.warmth.RunTime(true);
  RetryWindow window;
  window.latest = LatestRetry(request.CallerTimeLeft(), run);
  window.latest_in_time = TargetLeft(request, profile) - run;
  window.earliest = Duration::max();
  window.spacing = run;
  RetryScheduler* book = &unknown_[request.service];
  double bounded_rate = 0;
  bool bounded_first = false;
  for (const UpstreamPtr& upstream : open) {
    const bool bounded =
        !upstream->health.RetryTime() && upstream->IsRateBounded(now);
    bounded_rate += bounded ? upstream->rate_share.rate_per_second() : 0;
    const auto opening = OpeningOf(*upstream, run, now);
    if (opening && opening->in < window.earliest) {
      window.earliest = opening->in;
      window.spacing = opening->spacing;
      bounded_first = bounded;
      book = bounded ? &unknown_[request.service] : &upstream->retry_scheduler;
    }
  }
  if (bounded_first) {
    // Who comes back may get any of them.
    window.spacing = Times(kSecond, 1 / bounded_rate);
  }
  return book->Reserve(window, now);
}

}  // namespace pathcleat
