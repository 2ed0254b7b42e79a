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

/// @brief One request that a caller sent and the place for its answer.
/// Answering after the caller has left is allowed and does nothing.
/// @ingroup http
class HttpExchange {
 public:
  /// @param caller the caller's IP address as text.
  /// @param received when the request's last byte was read.
  HttpExchange(HttpRequest request, std::string caller, Time received)
      : request_(std::move(request)),
        caller_(std::move(caller)),
        received_(received) {}

  const HttpRequest& request() const { return request_; }
  const std::string& caller_ip() const { return caller_; }
  Time received_at() const { return received_; }

  /// @brief Gives the answer. Only the first call counts.
  void Respond(HttpResponse response);

  /// @brief Ends the connection without an answer: for stand-ins that fail.
  void DropConnection();

  /// @brief Called once if the caller leaves before the answer is given.
  void OnAbandoned(std::function<void()> callback);

  /// @brief Called once if the caller ends its side of the connection before
  /// the answer is given: most have gone then, some wait for their answer, and
  /// one that is given is still written. Without this the caller counts as
  /// gone.
  void OnCallerHalfClosed(std::function<void()> callback);

  /// @brief Asks the connection itself whether the caller has left, which it
  /// may have done behind bytes that are not read yet. If so, OnCallerEnded
  /// or OnAbandoned is called inside this call.
  void CheckConnection();

  /// @brief Whether the caller is there and has no answer yet.
  bool IsOpen() const { return !response_ && !abandoned_; }

  // The connection's side.
  bool answered() const { return response_.has_value(); }
  const HttpResponse& response() const { return *response_; }
  void OnAnswered(std::function<void()> callback);
  void OnConnectionDropped(std::function<void()> callback);
  void OnConnectionCheck(std::function<void()> callback);
  void Abandon();

  /// @return whether somebody hears of it and will answer.
  bool NotifyCallerHalfClosed();

 private:
  HttpRequest request_;
  std::string caller_;
  Time received_;
  std::optional<HttpResponse> response_;
  bool abandoned_ = false;
  std::function<void()> on_answered_;
  std::function<void()> on_abandoned_;
  std::function<void()> on_ended_;
  std::function<void()> on_check_;
  std::function<void()> on_dropped_;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// @brief Takes each request; the answer may come at any later time.
/// @ingroup http
using HttpExchangeHandler = std::function<void(const HttpExchangePtr&)>;

}  // namespace pathcleat
