// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "pathcleat/calls/in_flight_requests.hpp"
#include "pathcleat/calls/run_tracker.hpp"
#include "pathcleat/gateway/gateway_state.hpp"
#include "pathcleat/gateway/idempotency_guard.hpp"
#include "pathcleat/gateway/request_trace.hpp"
#include "pathcleat/gateway/upstream_attempt.hpp"
#include "pathcleat/http/http_exchange.hpp"

namespace pathcleat {

/// @brief One caller's request, from its route to its answer.
///
/// A request that may not be repeated goes to a second upstream only if the
/// first certainly did not run it: nothing was sent, or the upstream itself
/// said so. It is told "not run" (503) under the same condition alone. With
/// an Idempotency-Key it claims the key in the store before it is sent.
/// @ingroup gateway
class RequestHandler final
    : public std::enable_shared_from_this<RequestHandler>,
      public InFlightRequest {
 public:
  RequestHandler(GatewayState& state,
                 HttpExchangePtr exchange,
                 std::shared_ptr<const Route> route,
                 std::shared_ptr<const Account> account);
  ~RequestHandler() override { --state_.in_flight_count; }
  RequestHandler(const RequestHandler&) = delete;
  RequestHandler& operator=(const RequestHandler&) = delete;

  void Start();

  /// @brief Tells the caller what is known, as the process ends.
  void OnHostShutdown() override;

  Time deadline() const override { return deadline_; }
  void OnDeadline() override;

 private:
  bool TakeQuota();
  void GiveQuotaBack();
  bool MayClaim() const;
  void ClaimKey();
  void OnKey(const IdempotencyDecision& decision);
  void Attempt();
  Pick ChooseNow();
  Duration ReturnAfter(const Pick& next);
  void Send(const Pick& pick);
  void Arm(boost::asio::steady_timer& timer,
           Duration wait,
           void (RequestHandler::*step)());
  void ArmPatience(Duration patience);
  void OnPatienceOver();
  bool MayGoElsewhere() const;
  void OnOpened();
  bool MayStillSend(Time now);
  void Withdraw(Time now);
  void OnResult(const CallResult& result);
  void OnAnswer(const Pick& pick, Time sent, const CallResult& result);
  void NoteVersion(const Pick& pick, bool bad);
  void OnFailure(const CallResult& result);
  RequestDigest Digest();
  bool CountsCrashes() const;
  bool MayBeSuspected() const;
  CrashDecision JudgeCrashes(Time now);
  std::optional<Pick> KeptFromUpstreams(Time now);
  void NoteEndedUnder(const CallResult& result);
  void NoteRunEnded();
  void NoteCrashTrial();
  bool MayRetry();
  void RetryOrGiveUp();
  void Retry(const Pick& next);
  void Refuse(Duration retry_after,
              const std::string& reason,
              const Pick* best = nullptr);
  void RefuseForStop();
  void AnswerUnknown(int status, const std::string& reason);
  void Answer(HttpResponse response, RunOutcome outcome);
  bool WentWrong(RunOutcome outcome, Duration latency) const;
  void CancelAttempt(AbortCause cause);
  void OnCallerLeft();
  void EndForCallerLeft();
  Duration Left() const;

  GatewayState& state_;
  HttpExchangePtr exchange_;
  std::shared_ptr<const Route> route_;
  std::shared_ptr<const Account> account_;  ///< null: the caller is of none
  boost::asio::steady_timer deadline_timer_;
  boost::asio::steady_timer patience_timer_;  ///< of the attempt under way
  UpstreamAttempt attempt_;                   ///< under way, or the last one
  IdempotencyGuard key_;
  RequestTrace trace_;
  std::string request_id_;
  PickRequest request_;
  Time deadline_;
  bool retried_ = false;
  RunTracker runs_;
  int attempts_ = 0;  ///< upstreams that the request has reached
  int unsent_ = 0;    ///< upstreams chosen that were sent nothing
  std::optional<RequestDigest> digest_;  ///< reckoned when it is needed
  bool ended_under_ = false;  ///< an upstream may have ended under it
  bool on_trial_ = false;     ///< blocked, and sent as this host's trial
  bool left_ = false;         ///< the caller has gone, or sends no more
  bool done_ = false;
  bool counts_ = false;  ///< in its account's limit
};

}  // namespace pathcleat
