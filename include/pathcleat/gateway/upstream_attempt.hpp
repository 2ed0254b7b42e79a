// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "pathcleat/calls/upstream_protocol.hpp"
#include "pathcleat/gateway/gateway_state.hpp"
#include "pathcleat/http/http_client.hpp"

namespace pathcleat {

/// @brief Time limits of one request at one upstream, from its sending.
/// @ingroup gateway
struct AttemptTimeouts {
  Duration work_timeout{0};      ///< that the upstream may work
  Duration response_timeout{0};  ///< until the answer must be there
};

/// @brief One request at one upstream: what is sent, what this host then
/// knows of the upstream, and how it ends. Used again for the next upstream.
/// @ingroup gateway
class UpstreamAttempt {
 public:
  using Callback = std::function<void(const CallResult&)>;

  explicit UpstreamAttempt(GatewayState& state) : state_(state) {}

  /// @brief Sends a request to the upstream that was picked.
  /// @param key the request's key, a hash.
  /// @param opened called if a connection had to be opened first, before the
  /// first byte is written; may cancel.
  /// @param callback called once, never inside this call, and not after
  /// Cancel; it keeps this object alive.
  void Start(const Pick& pick,
             std::uint64_t key,
             const HttpRequest& request,
             const RequestMetadata& origin,
             const AttemptTimeouts& times,
             std::function<void()> opened,
             Callback callback);

  /// @brief Ends the exchange at the upstream; the callback is not called.
  void Cancel(AbortCause cause);

  /// @brief Takes back what has not been sent yet; the callback is not called.
  void Withdraw();

  /// @brief Whether the upstream may be sent what was picked for it a while
  /// ago: it is listed and open, and if its rate is bounded by now, this
  /// host's share has room.
  bool MayStillSend(Time now);

  /// @brief Whether an upstream has been sent to and has not answered yet.
  bool IsInFlight() const { return client_ != nullptr; }

  /// @brief Whether it is under way and bytes of it may have left this host.
  bool MayHaveSent() const { return client_ && client_->MayHaveSent(); }

  /// @brief Whether it is under way and this host has passed it on whole.
  bool IsFullySent() const { return client_ && client_->IsWritten(); }

  /// @brief Whether the upstream has answered others since it was sent.
  bool IsBusy() const;

  /// @brief Whether its connection has fallen silent: not even the machine of
  /// the upstream has acknowledged it. Once found, later requests are not held
  /// back for this one's sake and go over new connections.
  bool DetectSilence();

  /// @brief The upstream did not answer wholly. It is not blamed for
  /// connections that are known to have fallen silent.
  void NoteFailed();

  /// @brief The upstream has kept the request for too long, and answered
  /// nothing else meanwhile: later ones go elsewhere. One that answers others
  /// is only busy.
  void NoteNoAnswer();

  // Of the attempt under way, or the last one.
  const Pick& pick() const { return pick_; }
  Time sent_at() const { return sent_; }

 private:
  bool WasForgotten(const CallResult& result) const;
  void CountBreak(const CallResult& result);
  void OnResult(const CallResult& result, const Callback& callback);
  void NoteLimit(const HttpResponse& response);
  void NoteUnknownFields(const HttpHeaders& headers);
  void NoteSilent(const HttpClient& client);
  void NoteEnded();
  bool TakeShare(Time now);
  void GiveShareBack();

  GatewayState& state_;
  HttpClientPtr client_;  ///< of the attempt under way
  Pick pick_;
  Time sent_;
  std::optional<Duration> rested_;  ///< its connection, if it was kept
  bool took_share_ = false;         ///< of an upstream of bounded rate
  bool silent_ = false;  ///< the connection of this attempt, as far as known
  bool counts_ = true;   ///< against the upstream, if it fails
};

}  // namespace pathcleat
