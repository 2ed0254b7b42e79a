// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "pathcleat/calls/upstream_protocol.hpp"
#include "pathcleat/gateway/gateway_state.hpp"
#include "pathcleat/http/http_client.hpp"

namespace pathcleat {

/// @brief Time limits of one request at one upstream, counted from its sending.
/// @ingroup gateway
struct AttemptTimeouts {
  Duration work_timeout{0};      ///< for the work of the upstream
  Duration response_timeout{0};  ///< until the answer is complete
};

/// @brief One request at one upstream: sends it, updates this host's data about
/// the upstream, and reports how the exchange ended. The object is reused for
/// the next upstream.
/// @ingroup gateway
class UpstreamAttempt {
 public:
  using Callback = std::function<void(const CallResult&)>;

  explicit UpstreamAttempt(GatewayState& state) : state_(state) {}

  /// @brief Sends a request to the upstream that was picked.
  /// @param key hash of the request's affinity key, or of the request id if the
  /// request has no affinity key.
  /// @param opened called before the first byte is written if a connection had
  /// to be opened; may cancel the attempt.
  /// @param callback called once, never inside this call, and not after Cancel;
  /// it must keep this object alive.
  void Start(const Pick& pick,
             std::uint64_t key,
             const HttpRequest& request,
             const RequestMetadata& metadata,
             const AttemptTimeouts& timeouts,
             std::function<void()> opened,
             Callback callback);

  /// @brief Ends the exchange at the upstream; the callback is not called.
  void Cancel(AbortCause cause);

  /// @brief Ends the exchange with a reset, as the host does not reach the
  /// upstream: bytes that are still on their way do not reach it later.
  void AbortUnreachable();

  /// @brief Cancels the exchange without counting an abort, as nothing was sent
  /// yet; the callback is not called.
  void Withdraw();

  /// @brief Why the request may not be sent any more to the upstream that was
  /// picked for it earlier.
  SendBlock BlockBeforeSending(Time now);

  /// @brief Whether the attempt uses a connection that was already open.
  bool IsOnKeptConnection() const { return idle_time_.has_value(); }

  /// @brief Whether an exchange with an upstream is in flight.
  bool IsInFlight() const { return client_ != nullptr; }

  /// @brief Whether the exchange is in flight and bytes of the request may have
  /// left this host.
  bool MayHaveSent() const { return client_ && client_->MayHaveSent(); }

  /// @brief Whether the exchange is in flight and this host has written the
  /// whole request.
  bool IsFullySent() const { return client_ && client_->IsWritten(); }

  /// @brief Whether the upstream has answered other requests since this one was
  /// sent.
  bool IsBusy() const;

  /// @brief Whether the upstream of the attempt in flight may be out of reach:
  /// the connection does not open, bytes stay unacknowledged, or the upstream
  /// has answered no request for far too long.
  bool IsUpstreamSilent(Time now) const;

  /// @brief Checks whether the connection is silent: not even the machine of
  /// the upstream has acknowledged the bytes sent. Once the silence is
  /// detected, this attempt no longer delays later requests to the upstream,
  /// and later requests use new connections.
  bool DetectSilence();

  /// @brief Counts a failure of the upstream, which sent no complete answer.
  /// A connection opened before a silence that is already recorded does not
  /// count against the upstream, nor does one that was dropped while idle.
  void CountFailure();

  /// @brief Counts a missing answer if the upstream has taken too long and has
  /// answered no other request meanwhile, so that later requests go to other
  /// upstreams.
  /// An upstream that answers other requests is only busy.
  void CountMissingAnswer();

  // The pick and the time of sending of the attempt in flight, or of the last
  // attempt.
  const Pick& pick() const { return pick_; }
  Time sent_at() const { return sent_at_; }

 private:
  bool WasStaleConnection(const CallResult& result) const;
  void CountAbort(const CallResult& result);
  void Send(const HttpRequest& request,
            const RequestMetadata& metadata,
            const AttemptTimeouts& timeouts,
            bool was_silent,
            std::function<void()> opened,
            Callback callback);
  void OnResult(const CallResult& result, const Callback& callback);
  void LearnFrom(const HttpClient& client, const CallResult& result);
  void LearnFromConnection(const HttpClient& client, const CallResult& result);
  void KeepConnection(const HttpClientPtr& client, const CallResult& result);
  void RecordUnknownHeaders(const HttpHeaders& headers);
  void ReportReach(const HttpClient& client, const CallResult& result) const;
  void ReportSilentConnection(const HttpClient& client);
  void RecordEnd();
  void RecordVersionOutcome(AttemptOutcome outcome);
  void OnResponse(const HttpResponse& response);

  GatewayState& state_;
  HttpClientPtr client_;  ///< of the attempt in flight
  Pick pick_;
  Time sent_at_;
  Duration connect_timeout_{0};
  /// How long the connection had been idle; none for a new connection.
  std::optional<Duration> idle_time_;
  SendReservation reservation_;     ///< at the upstream
  bool connection_silent_ = false;  ///< the attempt's connection is silent
  bool failure_counts_ = true;      ///< a failure counts against the upstream
  /// Whether the attempt in flight is counted by the upstream's version.
  bool is_version_counted_ = false;
};

}  // namespace pathcleat
