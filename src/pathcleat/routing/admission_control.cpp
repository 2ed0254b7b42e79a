// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/routing/admission_control.hpp"

#include <algorithm>
#include <optional>

#include "pathcleat/routing/admission.hpp"

namespace pathcleat {
namespace {

constexpr Duration kSecond{1'000'000};

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

// This host's share of the requests in flight at an upstream.
double OwnShare(const UpstreamState& upstream, Time now) {
  const double own = std::max(1, upstream.load.own_in_flight());
  return own / std::max(own, upstream.load.ExpectedRequests(now));
}

// The kind of a request by urgency. Where accounts have priorities of their
// own, the requests of one route belong to several kinds.
std::string KindOf(const PickRequest& request) {
  const bool by_account = request.account && request.account->priority;
  return by_account ? request.route->name + " " +
                          std::to_string(*request.account->priority)
                    : request.route->name;
}

// Time left until the target latency is over, counted from the caller's first
// attempt.
Duration TargetTimeLeft(const PickRequest& request,
                        const RequestProfile& profile) {
  return request.route->target_latency -
         profile.usual_deadline.TimeSinceFirstAttempt(request.caller_timeout);
}

// Delay until an unavailable upstream accepts requests again, and the interval
// between the requests that it accepts then.
struct Availability {
  Duration delay{0};
  Duration interval{0};
};

std::optional<Availability> AvailabilityOf(const UpstreamState& upstream,
                                           Duration usual_run,
                                           Time now) {
  if (const auto retried = upstream.health.RetryTime()) {
    return Availability{*retried - now, usual_run};
  }
  if (upstream.backoff.IsInForce(now)) {
    return Availability{
        upstream.backoff.until() - now,
        Scale(usual_run, 1.0 / std::max(1, upstream.info.slots))};
  }
  if (!upstream.backoff.MaySend(now)) {
    return Availability{usual_run, usual_run};
  }
  const auto available_in = upstream.IsRateBounded(now)
                                ? upstream.rate_share.TimeUntilAvailable(now)
                                : std::nullopt;
  if (available_in) {
    return Availability{
        *available_in,
        Scale(kSecond, 1 / upstream.rate_share.rate_per_second())};
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
  input.target_time_left = TargetTimeLeft(request, profile);
  input.is_retry = input.target_time_left < input.target_latency;
  UrgencyTracker& urgency = urgency_[request.service];
  const std::string kind = KindOf(request);
  if (!input.is_retry) {
    urgency.OnFirstAttempt(kind, request.urgency(), now);
  }
  // A wait of at most one queue position counts as a free slot: no kind has to
  // yield to a more urgent kind.
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
  window.latest_in_time = TargetTimeLeft(request, profile) - service;
  window.latest = LatestRetryDelay(request.CallerTimeLeft(), service);
  window.spacing = Scale(profile.warmth.RunTime(true),
                         1 / (slots * OwnShare(*pick.upstream, now)));
  return pick.upstream->retry_scheduler.Reserve(window, now);
}

Duration AdmissionControl::RetryDelayForAny(
    const std::vector<UpstreamPtr>& open,
    double host_share,
    const PickRequest& request,
    const RequestProfile& profile,
    Time now) {
  const Duration run = profile.warmth.RunTime(true);
  RetryWindow window;
  window.latest = LatestRetryDelay(request.CallerTimeLeft(), run);
  window.latest_in_time = TargetTimeLeft(request, profile) - run;
  window.earliest = Duration::max();
  window.spacing = run;
  RetryScheduler* scheduler = &service_retries_[request.service];
  double bounded_rate = 0;
  bool earliest_is_bounded = false;
  int slots_in_backoff = 0;
  bool earliest_is_backoff = false;
  for (const UpstreamPtr& upstream : open) {
    const bool bounded =
        !upstream->health.RetryTime() && upstream->IsRateBounded(now);
    bounded_rate += bounded ? upstream->rate_share.rate_per_second() : 0;
    const bool backs_off =
        !upstream->health.RetryTime() && upstream->backoff.IsInForce(now);
    slots_in_backoff += backs_off ? std::max(1, upstream->info.slots) : 0;
    const auto availability = AvailabilityOf(*upstream, run, now);
    if (availability && availability->delay < window.earliest) {
      window.earliest = availability->delay;
      window.spacing = availability->interval;
      earliest_is_bounded = bounded && !backs_off;
      earliest_is_backoff = backs_off;
      scheduler = bounded || backs_off ? &service_retries_[request.service]
                                       : &upstream->retry_scheduler;
    }
  }
  if (earliest_is_bounded) {
    // The retry may be sent to any of the rate-bounded upstreams, so the
    // spacing follows from the sum of their rates.
    window.spacing = Scale(kSecond, 1 / bounded_rate);
  }
  if (earliest_is_backoff) {
    // The retry may be sent to any of the upstreams that asked for time without
    // requests, and their slots come back for all hosts.
    window.spacing = Scale(run, 1 / (slots_in_backoff * host_share));
  }
  return scheduler->Reserve(window, now);
}

}  // namespace pathcleat
