// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>
#include <cstdint>
#include <string>

#include "pathcleat/net/http_server_connection.hpp"
#include "pathcleat/net/tcp_acceptor.hpp"

namespace pathcleat {

/// @brief An HTTP server of one address, for stand-ins and tests.
/// @ingroup lab
class HttpListener : public QObject {
 public:
  HttpListener(HttpHandler handler, QObject* parent);

  /// @brief Starts to listen; port 0 picks a free one.
  /// @return the port.
  Result<std::uint16_t> Listen(const std::string& address, std::uint16_t port);

  /// @brief Stops listening and cuts all connections.
  void CutAll();

 private:
  HttpHandler handler_;
  TcpAcceptor acceptor_;
};

}  // namespace pathcleat
