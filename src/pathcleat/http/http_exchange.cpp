// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/http_exchange.hpp"

namespace pathcleat {

void Exchange::Respond(HttpResponse response) {
  if (!IsOpen()) {
    return;
  }
  response_ = std::move(response);
  on_abandoned_ = nullptr;
  on_ended_ = nullptr;
  on_check_ = nullptr;
  on_dropped_ = nullptr;
  if (const auto callback = std::exchange(on_answered_, nullptr)) {
    callback();
  }
}

void Exchange::Drop() {
  on_abandoned_ = nullptr;
  if (const auto callback = std::exchange(on_dropped_, nullptr)) {
    callback();
  }
}

void Exchange::OnDropped(std::function<void()> callback) {
  on_dropped_ = std::move(callback);
}

void Exchange::OnAbandoned(std::function<void()> callback) {
  if (abandoned_) {
    callback();
    return;
  }
  on_abandoned_ = std::move(callback);
}

void Exchange::OnCallerEnded(std::function<void()> callback) {
  on_ended_ = std::move(callback);
}

void Exchange::OnConnectionCheck(std::function<void()> callback) {
  on_check_ = std::move(callback);
}

void Exchange::CheckCaller() {
  // The check may end the exchange, and with it the callback.
  if (const auto check = on_check_) {
    check();
  }
}

bool Exchange::NotifyCallerHalfClosed() {
  if (!IsOpen() || !on_ended_) {
    return false;
  }
  std::exchange(on_ended_, nullptr)();
  return true;
}

void Exchange::OnAnswered(std::function<void()> callback) {
  on_answered_ = std::move(callback);
}

void Exchange::Abandon() {
  if (!IsOpen()) {
    return;
  }
  abandoned_ = true;
  on_answered_ = nullptr;
  on_ended_ = nullptr;
  on_check_ = nullptr;
  on_dropped_ = nullptr;
  if (const auto callback = std::exchange(on_abandoned_, nullptr)) {
    callback();
  }
}

}  // namespace pathcleat
