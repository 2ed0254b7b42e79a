// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/http_exchange.hpp"

namespace pathcleat {

void HttpExchange::Respond(HttpResponse response) {
  if (!IsOpen()) {
    return;
  }
  response_ = std::move(response);
  on_abandoned_ = nullptr;
  on_caller_half_closed_ = nullptr;
  on_connection_check_ = nullptr;
  on_connection_dropped_ = nullptr;
  if (const auto callback = std::exchange(on_answered_, nullptr)) {
    callback();
  }
}

void HttpExchange::DropConnection() {
  on_abandoned_ = nullptr;
  if (const auto callback = std::exchange(on_connection_dropped_, nullptr)) {
    callback();
  }
}

void HttpExchange::OnConnectionDropped(std::function<void()> callback) {
  on_connection_dropped_ = std::move(callback);
}

void HttpExchange::OnAbandoned(std::function<void()> callback) {
  if (abandoned_) {
    callback();
    return;
  }
  on_abandoned_ = std::move(callback);
}

void HttpExchange::OnCallerHalfClosed(std::function<void()> callback) {
  on_caller_half_closed_ = std::move(callback);
}

void HttpExchange::OnConnectionCheck(std::function<void()> callback) {
  on_connection_check_ = std::move(callback);
}

void HttpExchange::CheckConnection() {
  // Calls a copy: the callback may end the exchange, which destroys the
  // original.
  if (const auto check = on_connection_check_) {
    check();
  }
}

bool HttpExchange::NotifyCallerHalfClosed() {
  if (!IsOpen() || !on_caller_half_closed_) {
    return false;
  }
  std::exchange(on_caller_half_closed_, nullptr)();
  return true;
}

void HttpExchange::OnAnswered(std::function<void()> callback) {
  on_answered_ = std::move(callback);
}

void HttpExchange::Abandon() {
  if (!IsOpen()) {
    return;
  }
  abandoned_ = true;
  on_answered_ = nullptr;
  on_caller_half_closed_ = nullptr;
  on_connection_check_ = nullptr;
  on_connection_dropped_ = nullptr;
  if (const auto callback = std::exchange(on_abandoned_, nullptr)) {
    callback();
  }
}

}  // namespace pathcleat
