// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/http_exchange.hpp"

namespace pathcleat {

void Exchange::Respond(HttpResponse response) {
  if (!IsOpen()) {
    return;
  }
  response_ = std::move(response);
  on_abandoned_ = nullptr;
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

void Exchange::OnAnswered(std::function<void()> callback) {
  on_answered_ = std::move(callback);
}

void Exchange::Abandon() {
  if (!IsOpen()) {
    return;
  }
  abandoned_ = true;
  on_answered_ = nullptr;
  on_dropped_ = nullptr;
  if (const auto callback = std::exchange(on_abandoned_, nullptr)) {
    callback();
  }
}

}  // namespace pathcleat
