// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "pathcleat/core/time.hpp"
#include "pathcleat/http/http_message.hpp"

namespace pathcleat {

/// @brief A request of a caller and its answer. An answer after the caller has
/// disconnected is allowed and has no effect.
/// @ingroup http
class HttpExchange {
 public:
  /// @param caller the caller's IP address as text.
  /// @param received time at which the last byte of the request was read.
  HttpExchange(HttpRequest request, std::string caller, Time received)
      : request_(std::move(request)),
        caller_ip_(std::move(caller)),
        received_at_(received) {}

  const HttpRequest& request() const { return request_; }
  const std::string& caller_ip() const { return caller_ip_; }

  /// @brief Sets the IP address of the caller of a request that another host
  /// forwarded.
  void SetCallerIp(const std::string& caller_ip) { caller_ip_ = caller_ip; }
  Time received_at() const { return received_at_; }

  /// @brief Sends the answer. Only the first call has an effect.
  void Respond(HttpResponse response);

  /// @brief Closes the connection without an answer. Used by the stand-ins of
  /// the upstreams and of the platform to simulate a failure.
  void DropConnection();

  /// @brief Sets a callback that is called once if the caller disconnects
  /// before the answer.
  void OnAbandoned(std::function<void()> callback);

  /// @brief Sets a callback that is called once if the caller half-closes the
  /// connection before the answer. Most callers that half-close have
  /// disconnected, but some still wait, so the answer is still written. Without
  /// a callback, the caller counts as disconnected.
  void OnCallerHalfClosed(std::function<void()> callback);

  /// @brief Checks whether the caller has closed the connection, also if unread
  /// bytes precede the close. If so, the callback of OnCallerHalfClosed or
  /// OnAbandoned is called inside this call.
  void CheckConnection();

  /// @brief Whether the caller is connected and has no answer yet.
  bool IsOpen() const { return !response_ && !abandoned_; }

  // The functions from here on are called by ServerSession.
  bool answered() const { return response_.has_value(); }
  const HttpResponse& response() const { return *response_; }
  void OnAnswered(std::function<void()> callback);
  void OnConnectionDropped(std::function<void()> callback);
  void OnConnectionCheck(std::function<void()> callback);
  void Abandon();

  /// @brief Calls the callback of OnCallerHalfClosed.
  /// @return false if the exchange is no longer open or no callback is set.
  bool NotifyCallerHalfClosed();

 private:
  HttpRequest request_;
  std::string caller_ip_;
  Time received_at_;
  std::optional<HttpResponse> response_;
  bool abandoned_ = false;
  std::function<void()> on_answered_;
  std::function<void()> on_abandoned_;
  std::function<void()> on_caller_half_closed_;
  std::function<void()> on_connection_check_;
  std::function<void()> on_connection_dropped_;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// @brief Handles each request; may answer at any later time.
/// @ingroup http
using HttpExchangeHandler = std::function<void(const HttpExchangePtr&)>;

}  // namespace pathcleat
