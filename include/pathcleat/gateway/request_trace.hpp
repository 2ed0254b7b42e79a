// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <string>
#include <vector>

#include "pathcleat/accounts/caller_identity.hpp"
#include "pathcleat/gateway/gateway_state.hpp"
#include "pathcleat/http/http_exchange.hpp"

namespace pathcleat {

/// @brief What befalls one request, event by event, with the inputs that
/// decided it. At its end it goes to the log and to "why".
/// @ingroup gateway
class RequestTrace {
 public:
  explicit RequestTrace(GatewayState& state) : state_(state) {}

  /// @brief The id that the events name; none is noted before.
  void SetRequest(const std::string& request_id) { request_id_ = request_id; }

  void Note(EventCode code, EventFields fields);

  /// @brief The request was taken.
  /// @param picked what it asks of the picker.
  /// @param left time until it must be answered.
  void NoteAccepted(const HttpExchange& exchange,
                    const PickRequest& picked,
                    Duration left);

  /// @brief Its key was not accepted. The key itself is told nowhere.
  void NoteApiKeyRefused(const HttpExchange& exchange,
                         const Route& route,
                         ApiKeyFault fault);

  /// @brief It is beyond its account's limit.
  void NoteOverLimit(const Account& account,
                     const QuotaDecision& decision,
                     Duration retry_after);

  /// @brief It is sent to the upstream that was picked.
  /// @param attempt from 1 up.
  void NoteSent(const Pick& pick, int attempt, Time now);

  /// @brief The connection that it is to be sent over has opened.
  /// @param elapsed since the upstream was picked.
  void NoteOpened(const std::string& upstream, Duration elapsed);

  /// @brief An attempt came to nothing.
  void NoteFailed(const std::string& upstream,
                  const std::string& detail,
                  Duration elapsed);

  /// @brief It is not sent, as it has crashed upstreams.
  void NoteSuspected(RequestDigest request, const CrashDecision& verdict);

  /// @brief It is refused as not run.
  /// @param best what could have been picked; may be missing.
  void NoteRefused(const std::string& reason,
                   Duration retry_after,
                   const Route& route,
                   Duration left,
                   const Pick* best);

  /// @brief Gives what has been noted to the log and to "why" ahead of the
  /// end, as that may be long in coming: the caller has left.
  void Flush();

  /// @brief The request is over.
  /// @param failed it did not go as it should.
  void Finish(bool failed);

 private:
  GatewayState& state_;
  std::string request_id_;
  std::vector<Event> events_;
  std::size_t told_ = 0;  ///< how many of these the log has
};

}  // namespace pathcleat
