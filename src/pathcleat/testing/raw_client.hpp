// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QHostAddress>
#include <QTcpSocket>
#include <string>

#include "event_loop.hpp"

namespace pathcleat {

/// @brief The bytes of a GET to the test world's service.
inline std::string GetText(const std::string& run_id) {
  return "GET /s/item HTTP/1.1\r\nHost: t\r\nX-Run-Id: " + run_id + "\r\n\r\n";
}

/// @brief A TCP client that sends and sees bytes as they are.
class RawClient {
 public:
  RawClient(const std::string& address, std::uint16_t port) {
    QObject::connect(&socket_, &QTcpSocket::readyRead, &socket_,
                     [this] { received_ += socket_.readAll().toStdString(); });
    socket_.connectToHost(QHostAddress(QString::fromStdString(address)), port);
    WaitUntil(
        [this] { return socket_.state() == QAbstractSocket::ConnectedState; });
  }

  void Send(const std::string& bytes) {
    socket_.write(bytes.data(), static_cast<qint64>(bytes.size()));
    socket_.flush();
  }
  void Close() { socket_.abort(); }
  bool IsClosed() const {
    return socket_.state() == QAbstractSocket::UnconnectedState;
  }
  const std::string& received() const { return received_; }
  bool Has(const std::string& text) const {
    return received_.find(text) != std::string::npos;
  }
  qint64 unsent() const { return socket_.bytesToWrite(); }

 private:
  QTcpSocket socket_;
  std::string received_;
};

}  // namespace pathcleat
