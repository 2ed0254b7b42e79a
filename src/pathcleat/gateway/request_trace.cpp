// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/gateway/request_trace.hpp"

#include <utility>

#include "pathcleat/calls/upstream_protocol.hpp"
#include "pathcleat/rollouts/version_rule_name.hpp"

namespace pathcleat {
namespace {

// Maximum length of a path with its query in the log; a longer text is cut.
constexpr std::size_t kMaxPathBytes = 256;

}  // namespace

void RequestTrace::Note(EventCode code, EventFields fields) {
  events_.push_back(
      state_.events.MakeEvent(code, request_id_, "", std::move(fields)));
}

void RequestTrace::NoteAccepted(const HttpExchange& exchange,
                                const PickRequest& picked,
                                Duration left) {
  const HttpRequest& request = exchange.request();
  Note(EventCode::kRequestTaken,
       {{field::kCaller, exchange.caller_ip()},
        {field::kMethod, request.method},
        {field::kPath, request.target.substr(0, kMaxPathBytes)},
        IntegerField(field::kBodyBytes, request.body.size()),
        {field::kRoute, picked.route->name},
        {field::kService, picked.service},
        {field::kAccount, picked.account ? picked.account->name : ""},
        {field::kRepeatable, picked.route->repeatable},
        {field::kAffinityKey, picked.sticky ? std::to_string(picked.key) : ""},
        MillisecondsField(field::kTargetMs, picked.route->target_latency),
        MillisecondsField(field::kLeftMs, left),
        IntegerField(field::kConfigVersion, state_.routes.version()),
        MillisecondsField(field::kAgeMs,
                          BootClock::now() - state_.routes_applied_at),
        MillisecondsField(field::kFleetAnswerAgeMs,
                          BootClock::now() - state_.orders_answered_at)});
}

void RequestTrace::NoteApiKeyRefused(const HttpExchange& exchange,
                                     const Route& route,
                                     ApiKeyFault fault) {
  Note(EventCode::kKeyRefused,
       {{field::kReason, ReasonOf(fault)},
        {field::kCaller, exchange.caller_ip()},
        {field::kRoute, route.name},
        IntegerField(field::kConfigVersion, state_.routes.version()),
        MillisecondsField(field::kAgeMs,
                          BootClock::now() - state_.routes_applied_at)});
}

void RequestTrace::NoteOverLimit(const Account& account,
                                 const QuotaDecision& decision,
                                 Duration retry_after) {
  Note(EventCode::kRequestRefused,
       {{field::kReason, kAccountLimitReason},
        {field::kAccount, account.name},
        {field::kLimitPerSecond, decision.limit_per_second},
        {field::kFleetDemandPerSecond, decision.fleet_demand},
        {field::kShare, decision.share},
        MillisecondsField(field::kRetryAfterMs, retry_after)});
}

void RequestTrace::NoteSent(const Pick& pick,
                            const VersionRulePtr& versions,
                            int attempt,
                            bool kept,
                            Time now) {
  const UpstreamInfo& upstream = pick.upstream->info;
  EventFields fields = {
      {field::kUpstream, upstream.id},
      {field::kDomain, upstream.domain},
      IntegerField(field::kAttempt, attempt),
      IntegerField(field::kCandidates, pick.candidates),
      IntegerField(field::kPassedOver, pick.passed_over),
      MillisecondsField(field::kExpectedMs, pick.expected_latency),
      MillisecondsField(field::kWaitMs, pick.expected_wait),
      {field::kWarm, pick.warm},
      {field::kKept, kept},
      IntegerField(field::kListVersion, state_.upstream_list_version),
      MillisecondsField(field::kListAgeMs,
                        now - state_.upstream_list_changed_at)};
  if (const Rollout* rollout = state_.rollouts.Find(upstream.service)) {
    fields.push_back({field::kVersion, upstream.version});
    fields.push_back(
        {field::kVersionRule,
         std::string(NameOf(versions.get(), rollout->order().version))});
  }
  Note(EventCode::kRequestSent, std::move(fields));
}

void RequestTrace::NoteAnswerBegun(const std::string& upstream,
                                   const CallResult& result) {
  Note(EventCode::kAnswerBegun,
       {{field::kUpstream, upstream},
        MillisecondsField(field::kSendMs, result.send_delay),
        MillisecondsField(field::kAnswerMs, result.answer_delay),
        MillisecondsField(field::kTransferMs, result.transfer_time),
        IntegerField(field::kListVersion, state_.upstream_list_version),
        MillisecondsField(field::kListAgeMs,
                          BootClock::now() - state_.upstream_list_changed_at)});
}

void RequestTrace::NoteOpened(const std::string& upstream, Duration elapsed) {
  Note(EventCode::kConnectionOpened,
       {{field::kUpstream, upstream},
        MillisecondsField(field::kElapsedMs, elapsed),
        IntegerField(field::kListVersion, state_.upstream_list_version),
        MillisecondsField(field::kListAgeMs,
                          BootClock::now() - state_.upstream_list_changed_at)});
}

void RequestTrace::NoteFailed(const std::string& upstream,
                              const std::string& detail,
                              Duration elapsed,
                              std::optional<AnswerFault> fault) {
  EventFields fields = {{field::kUpstream, upstream},
                        {field::kDetail, detail},
                        MillisecondsField(field::kElapsedMs, elapsed)};
  if (fault) {
    fields.push_back({field::kReason, std::string(ToString(*fault))});
  }
  Note(EventCode::kAttemptFailed, std::move(fields));
}

void RequestTrace::NoteNotRun(const std::string& upstream,
                              const HttpResponse& response) {
  EventFields fields = {{field::kUpstream, upstream},
                        IntegerField(field::kStatus, response.status)};
  if (const auto retry_after = FindHeader(response.headers, "Retry-After")) {
    fields.push_back({field::kRetryAfter, *retry_after});
  }
  Note(EventCode::kAttemptNotRun, std::move(fields));
}

void RequestTrace::NoteSuspected(RequestDigest request,
                                 const CrashDecision& decision) {
  EventFields fields = ToEventFields(decision);
  fields.insert(fields.begin(), {field::kDigest, ToText(request)});
  Note(EventCode::kRequestSuspected, std::move(fields));
}

void RequestTrace::NoteRefused(const std::string& reason,
                               Duration retry_after,
                               const Route& route,
                               Duration left,
                               const Pick* best) {
  EventFields fields = {
      {field::kReason, reason},
      MillisecondsField(field::kRetryAfterMs, retry_after),
      MillisecondsField(field::kTargetMs, route.target_latency),
      MillisecondsField(field::kLeftMs, left)};
  if (best != nullptr) {
    fields.push_back(MillisecondsField(field::kWaitMs, best->expected_wait));
    fields.push_back(
        MillisecondsField(field::kExpectedMs, best->expected_latency));
    fields.push_back(IntegerField(field::kCandidates, best->candidates));
    fields.push_back(IntegerField(field::kPassedOver, best->passed_over));
  }
  Note(EventCode::kRequestRefused, std::move(fields));
}

void RequestTrace::NoteGivenUp(Time received_at,
                               const UpstreamAttempt& attempt,
                               Duration left) {
  EventFields fields = {
      MillisecondsField(field::kAfterStopMs,
                        received_at - state_.shutdown.begun_at()),
      MillisecondsField(field::kLeftMs, left)};
  if (attempt.IsInFlight()) {
    fields.push_back({field::kUpstream, attempt.pick().upstream->info.id});
    fields.push_back(MillisecondsField(field::kElapsedMs,
                                       BootClock::now() - attempt.sent_at()));
    fields.push_back(
        MillisecondsField(field::kExpectedMs, attempt.pick().expected_latency));
  }
  Note(EventCode::kRequestGivenUp, std::move(fields));
}

void RequestTrace::Flush() {
  state_.request_log.LogRequest(request_id_, true, events_, BootClock::now());
  state_.traces.Keep(request_id_, events_);
  logged_count_ = events_.size();
}

void RequestTrace::Finish(bool failed) {
  const Time now = BootClock::now();
  if (logged_count_ == 0) {
    state_.request_log.LogRequest(request_id_, failed, events_, now);
  } else {
    const auto first_unlogged =
        events_.begin() + static_cast<std::ptrdiff_t>(logged_count_);
    state_.request_log.LogRequest(request_id_, failed,
                                  {first_unlogged, events_.end()}, now);
  }
  state_.traces.Keep(request_id_, std::move(events_));
  events_.clear();
}

}  // namespace pathcleat
