// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>
#include <string>

#include "pathcleat/calls/forward_token.hpp"
#include "pathcleat/fleet/host_info.hpp"
#include "pathcleat/gateway/gateway_state.hpp"
#include "pathcleat/http/http_client.hpp"

namespace pathcleat {

/// @brief One request at another host, which sends it to an upstream on behalf
/// of this host.
/// @ingroup gateway
class ForwardAttempt {
 public:
  using Callback = std::function<void(const CallResult&)>;

  explicit ForwardAttempt(GatewayState& state) : state_(state) {}

  /// @brief Sends a request to another host.
  /// @param timeout until the answer is complete.
  /// @param callback called once, never inside this call, and not after Cancel;
  /// it must keep this object alive.
  void Start(const HostInfo& target,
             const HttpRequest& request,
             const std::string& request_id,
             const ForwardContext& context,
             Duration timeout,
             Callback callback);

  /// @brief Ends the exchange; the callback is not called. The other host sees
  /// that its caller has left.
  void Cancel();

  bool IsInFlight() const { return client_ != nullptr; }

  /// @brief Whether the exchange is in flight and bytes of the request may have
  /// left this host.
  bool MayHaveSent() const { return client_ && client_->MayHaveSent(); }

  /// @brief Whether the exchange is in flight and this host has written the
  /// whole request.
  bool IsFullySent() const { return client_ && client_->IsWritten(); }

  /// @brief The host of the exchange in flight, or of the last one.
  const HostInfo& target() const { return target_; }
  Time sent_at() const { return sent_at_; }

 private:
  void OnResult(const CallResult& result, const Callback& callback);
  HttpClientPtr Take();

  GatewayState& state_;
  HttpClientPtr client_;
  HostInfo target_;
  Time sent_at_;
};

}  // namespace pathcleat
