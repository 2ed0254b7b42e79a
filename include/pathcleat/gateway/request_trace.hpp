// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "pathcleat/accounts/caller_identity.hpp"
#include "pathcleat/gateway/gateway_state.hpp"
#include "pathcleat/gateway/upstream_attempt.hpp"
#include "pathcleat/http/answer_fault.hpp"
#include "pathcleat/http/http_client.hpp"
#include "pathcleat/http/http_exchange.hpp"

namespace pathcleat {

/// @brief Collects the events of one request with the inputs of each decision.
/// At the end of the request the events go to the log and to the traces that
/// operators query with the command "why".
/// @ingroup gateway
class RequestTrace {
 public:
  explicit RequestTrace(GatewayState& state) : state_(state) {}

  /// @brief Sets the request id that the events contain; must be called before
  /// the first event is noted.
  void SetRequest(const std::string& request_id) { request_id_ = request_id; }

  void Note(EventCode code, EventFields fields);

  /// @brief Notes that the request was accepted.
  /// @param picked the input for the choice of an upstream.
  /// @param left time until the request must be answered.
  void NoteAccepted(const HttpExchange& exchange,
                    const PickRequest& picked,
                    Duration left);

  /// @brief Notes that the API key was not accepted. The key itself is never
  /// logged.
  void NoteApiKeyRefused(const HttpExchange& exchange,
                         const Route& route,
                         ApiKeyFault fault);

  /// @brief Notes that the request is beyond its account's limit.
  void NoteOverLimit(const Account& account,
                     const QuotaDecision& decision,
                     Duration retry_after);

  /// @brief Notes that the request is sent to the upstream that was picked.
  /// If the service has or had an order for a rollout, the upstream's version
  /// and the rule by which it was chosen are included.
  /// @param versions rule of the choice; null: any version.
  /// @param attempt number of the attempt, counted from 1.
  /// @param kept whether the connection was already open.
  void NoteSent(const Pick& pick,
                const VersionRulePtr& versions,
                int attempt,
                bool kept,
                Time now);

  /// @brief Notes when an upstream's answer began, which is the latest time at
  /// which the request can have arrived there.
  void NoteAnswerBegun(const std::string& upstream, const CallResult& result);

  /// @brief Notes that the connection to the upstream has opened.
  /// @param elapsed time since the upstream was picked.
  void NoteOpened(const std::string& upstream, Duration elapsed);

  /// @brief Notes that an attempt failed.
  /// @param fault of the answer, if one had begun and cannot be used.
  void NoteFailed(const std::string& upstream,
                  const std::string& detail,
                  Duration elapsed,
                  std::optional<AnswerFault> fault = std::nullopt);

  /// @brief Notes that an upstream has not run the request.
  void NoteNotRun(const std::string& upstream, const HttpResponse& response);

  /// @brief Notes that the request is not sent because it is suspected of
  /// crashing upstreams.
  void NoteSuspected(RequestDigest request, const CrashDecision& decision);

  /// @brief Notes that the request is refused as not run.
  /// @param best the best pick that was available; may be null.
  void NoteRefused(const std::string& reason,
                   Duration retry_after,
                   const Route& route,
                   Duration left,
                   const Pick* best);

  /// @brief Notes that this host ends the request because it shuts down.
  /// @param received_at when the request was received.
  /// @param attempt the attempt that is in flight or was the last one.
  /// @param left time until the request would have had to be answered.
  void NoteGivenUp(Time received_at,
                   const UpstreamAttempt& attempt,
                   Duration left);

  /// @brief Passes the events noted so far to the log and the traces. Used when
  /// the caller has left, as the request may run on for a long time.
  void Flush();

  /// @brief Passes the remaining events to the log and the traces at the end of
  /// the request.
  /// @param failed whether the request failed or took unusually long.
  void Finish(bool failed);

 private:
  GatewayState& state_;
  std::string request_id_;
  std::vector<Event> events_;
  std::size_t logged_count_ = 0;  ///< how many of the events are logged
};

}  // namespace pathcleat
