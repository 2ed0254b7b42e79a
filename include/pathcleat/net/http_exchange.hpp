// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "pathcleat/net/http_message.hpp"

namespace pathcleat {

/// @brief One request a caller sent and the place for its answer. Belongs to
/// the thread of its connection. Answering after the caller has left is
/// allowed and does nothing.
/// @ingroup net
class HttpExchange {
 public:
  HttpExchange(HttpRequest request, std::string caller)
      : request_(std::move(request)), caller_(std::move(caller)) {}

  const HttpRequest& request() const { return request_; }

  /// @brief The caller's IP address as text.
  const std::string& caller() const { return caller_; }

  /// @brief Gives the answer. Only the first call counts.
  void Respond(HttpResponse response);

  /// @brief Called once if the caller leaves before the answer is given.
  void OnAbandoned(std::function<void()> callback);

  /// @brief Whether the caller is there and has no answer yet.
  bool IsOpen() const { return !response_ && !abandoned_; }

  // The connection's side.
  bool answered() const { return response_.has_value(); }
  const HttpResponse& response() const { return *response_; }
  void OnAnswered(std::function<void()> callback);
  void Abandon();

 private:
  HttpRequest request_;
  std::string caller_;
  std::optional<HttpResponse> response_;
  bool abandoned_ = false;
  std::function<void()> on_answered_;
  std::function<void()> on_abandoned_;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// @brief Takes each request; the answer may come at any later time.
/// @ingroup net
using HttpHandler = std::function<void(const HttpExchangePtr&)>;

}  // namespace pathcleat
