// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QTcpServer>
#include <cstdint>
#include <functional>
#include <string>

#include "pathcleat/core/error.hpp"

namespace pathcleat {

/// @brief Listens on one address and gives each accepted socket's descriptor
/// to a function, which then owns it.
/// @ingroup net
class TcpAcceptor : public QTcpServer {
 public:
  using Accept = std::function<void(qintptr descriptor)>;

  explicit TcpAcceptor(Accept accept, QObject* parent = nullptr);

  /// @brief Starts to listen.
  /// @return the port; kUnreachable if the address cannot be bound.
  Result<std::uint16_t> Listen(const std::string& address, std::uint16_t port);

 protected:
  void incomingConnection(qintptr descriptor) override;

 private:
  Accept accept_;
};

}  // namespace pathcleat
