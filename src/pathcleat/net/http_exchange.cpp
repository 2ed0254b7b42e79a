// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/net/http_exchange.hpp"

#include <utility>

namespace pathcleat {

void HttpExchange::Respond(HttpResponse response) {
  if (response_) {
    return;
  }
  response_ = std::move(response);
  on_abandoned_ = nullptr;
  if (const auto callback = std::exchange(on_answered_, nullptr)) {
    callback();
  }
}

void HttpExchange::OnAbandoned(std::function<void()> callback) {
  on_abandoned_ = std::move(callback);
}

void HttpExchange::OnAnswered(std::function<void()> callback) {
  on_answered_ = std::move(callback);
}

void HttpExchange::Abandon() {
  abandoned_ = true;
  on_answered_ = nullptr;
  if (const auto callback = std::exchange(on_abandoned_, nullptr)) {
    callback();
  }
}

}  // namespace pathcleat
