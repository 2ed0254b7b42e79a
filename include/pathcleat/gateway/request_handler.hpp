// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pathcleat/calls/in_flight_requests.hpp"
#include "pathcleat/calls/run_tracker.hpp"
#include "pathcleat/gateway/forward_attempt.hpp"
#include "pathcleat/gateway/gateway_state.hpp"
#include "pathcleat/gateway/idempotency_guard.hpp"
#include "pathcleat/gateway/request_trace.hpp"
#include "pathcleat/gateway/upstream_attempt.hpp"
#include "pathcleat/http/http_exchange.hpp"
#include "pathcleat/rollouts/version_response.hpp"

namespace pathcleat {

/// @brief Handles one caller's request, from its route to its answer.
///
/// A request that may not be repeated is sent to a second upstream only if the
/// first certainly did not run it: nothing was sent, or the upstream itself
/// said that it did not run the request. Only under the same condition is
/// the caller answered with "not run" (status 503). With an Idempotency-Key
/// header, such a request claims the key in the store before it is sent.
///
/// A host that does not reach the upstreams forwards the request to one that
/// does, once only. The first host identifies the caller, counts the request in
/// its account's limit and holds the claim of its key; the second host chooses
/// the upstream and counts shifts, links, crashes and versions.
/// @ingroup gateway
class RequestHandler final
    : public std::enable_shared_from_this<RequestHandler>,
      public InFlightRequest {
 public:
  RequestHandler(GatewayState& state,
                 HttpExchangePtr exchange,
                 std::shared_ptr<const Route> route,
                 std::shared_ptr<const Account> account,
                 std::optional<ForwardContext> forwarded = std::nullopt);
  ~RequestHandler() override;
  RequestHandler(const RequestHandler&) = delete;
  RequestHandler& operator=(const RequestHandler&) = delete;

  void Start();

  /// @brief Answers the caller with the outcome as far as it is known, as the
  /// process is about to exit.
  void OnHostShutdown() override;

  Time deadline() const override { return deadline_; }
  void OnDeadline() override;
  bool IsUpstreamSilent(Time now) const override {
    return attempt_.IsUpstreamSilent(now);
  }
  void OnHostIsolated() override;

 private:
  static constexpr const char* kFailedReason = "internal_error";
  static constexpr int kMaxUnsentAttempts = 3;
  static constexpr Duration kMinTimeLeft{10'000};

  /// @brief Runs a step. After an exception the request goes on if an attempt
  /// is in flight, whose result or deadline ends it; otherwise it ends.
  template <class Step>
  void RunStep(Step&& step) {
    const auto self = shared_from_this();
    if (!Contain(std::forward<Step>(step)) && !IsAnyInFlight()) {
      EndAfterFailure();
    }
  }

  /// @brief Runs a step that is to end the request. It ends after an exception
  /// too.
  template <class Step>
  void RunLastStep(Step&& step) {
    const auto self = shared_from_this();
    if (!Contain(std::forward<Step>(step))) {
      EndAfterFailure();
    }
  }

  template <class Step>
  bool Contain(Step&& step) {
    return state_.failures.Run(EntryPoint::kRequestStep, request_id_,
                               std::forward<Step>(step));
  }

  void EndAfterFailure();
  void Begin();
  void EndAtDeadline();
  void EndAtShutdown();
  void MoveToReachableHost();
  bool AcquireQuota();
  void ReleaseQuota();
  bool MayStart() const;
  void ClaimKey();
  void OnKeyDecision(const IdempotencyDecision& decision);
  void Attempt();
  Pick ChooseUpstream();
  Duration RetryDelayFor(const Pick& next);
  void Send(const Pick& pick);
  void StartTimer(boost::asio::steady_timer& timer,
                  Duration wait,
                  void (RequestHandler::*step)());
  void StartFailoverTimer(Duration timeout);
  void OnFailoverTimeout();
  bool MayFailOver() const;
  void OnOpened();
  std::string BlockBeforeSending(Time now);
  void Withdraw(const std::string& reason, Time now);
  void OnResult(const CallResult& result);
  void OnAnswer(const Pick& pick, Time sent, const CallResult& result);
  bool IsOnTrial(const UpstreamState& upstream) const;
  /// @param response without what follows from the pick and the route.
  void RecordVersionResult(const Pick& pick, VersionResponse response);
  void OnFailure(const CallResult& result);
  RequestDigest Digest();
  bool TracksCrashes() const;
  bool MayBeSuspected() const;
  CrashDecision DecideOnCrashes(Time now);
  std::optional<Pick> MakeBlockedPick(Time now);
  void ProbeForCrash(const CallResult& result);
  void ReportNoCrash();
  void RecordCrashTrial();
  bool MayRetry();
  bool RetryRejected(const HttpResponse& response);
  void RetryOrGiveUp();
  void AttemptWithKey();
  void ChooseAgain();
  void RunWhenCaughtUp(void (RequestHandler::*step)());
  void GiveUp(const Pick& next);
  bool MayForward() const;
  const HostEntry* ChooseForwardTarget() const;
  bool LacksReachableUpstream() const;
  bool IsForwardingUseless() const;
  bool ForwardIfIsolated();
  bool ForwardAfterFailure();
  bool TryForward(const char* reason);
  void ForwardTo(const HostInfo& target, const char* reason);
  void OnForwardResult(const CallResult& result);
  void AnswerForwarded(HttpResponse response, RunOutcome outcome);
  void NoteForwardFailed(const std::string& detail);
  void Retry(const Pick& next);
  void Refuse(Duration retry_after,
              const std::string& reason,
              const Pick* best = nullptr);
  void RefuseForShutdown();
  void AnswerUnknown(int status, const std::string& reason);
  void Answer(HttpResponse response, RunOutcome outcome);
  bool IsUnusual(RunOutcome outcome, Duration latency) const;
  void CancelAttempt(AbortCause cause);
  void CancelForward();
  bool IsAnyInFlight() const {
    return attempt_.IsInFlight() || forward_.IsInFlight();
  }
  void OnCallerLeft();
  void EndAfterCallerLeft();
  Duration TimeLeft() const;

  GatewayState& state_;
  HttpExchangePtr exchange_;
  std::shared_ptr<const Route> route_;
  /// Null if the caller has no account.
  std::shared_ptr<const Account> account_;
  boost::asio::steady_timer deadline_timer_;
  boost::asio::steady_timer failover_timer_;  ///< for the attempt in flight
  UpstreamAttempt attempt_;  ///< the attempt in flight, or the last attempt
  ForwardAttempt forward_;
  std::set<std::string> forward_targets_;  ///< names of hosts that were tried
  /// Set if another host forwarded the request to this one.
  std::optional<ForwardContext> forwarded_;
  IdempotencyGuard idempotency_guard_;
  RequestTrace trace_;
  std::string request_id_;
  PickRequest pick_request_;
  Time deadline_;
  bool retried_ = false;
  RunTracker run_tracker_;
  int attempt_count_ = 0;  ///< attempts in which bytes may have been sent
  int unsent_count_ = 0;   ///< attempts in which nothing was sent
  std::optional<RequestDigest> digest_;  ///< computed on first use
  /// Whether an upstream may have crashed while it ran the request.
  bool may_have_crashed_upstream_ = false;
  bool is_crash_trial_ = false;  ///< sent as a trial, though blocked
  bool caller_left_ = false;     ///< the caller has disconnected or half-closed
  bool done_ = false;
  bool counted_in_quota_ = false;  ///< counted in the limit of its account
};

}  // namespace pathcleat
