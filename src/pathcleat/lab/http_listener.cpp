// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/http_listener.hpp"

#include <utility>

namespace pathcleat {
namespace {
constexpr std::uint64_t kLargestBody = 64ULL * 1024 * 1024;
}  // namespace

HttpListener::HttpListener(HttpHandler handler, QObject* parent)
    : QObject(parent),
      handler_(std::move(handler)),
      acceptor_([this](qintptr descriptor) {
        HttpLimits limits;
        limits.body_bytes = kLargestBody;
        new HttpServerConnection(descriptor, limits, nullptr, handler_, this);
      }) {}

Result<std::uint16_t> HttpListener::Listen(const std::string& address,
                                           std::uint16_t port) {
  return acceptor_.Listen(address, port);
}

void HttpListener::CutAll() {
  acceptor_.close();
  for (QObject* connection :
       findChildren<QObject*>(Qt::FindDirectChildrenOnly)) {
    delete connection;
  }
}

}  // namespace pathcleat
