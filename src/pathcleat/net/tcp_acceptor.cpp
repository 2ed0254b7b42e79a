// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/net/tcp_acceptor.hpp"

#include <QHostAddress>
#include <utility>

namespace pathcleat {

namespace {
constexpr int kListenBacklog = 1024;
}  // namespace

TcpAcceptor::TcpAcceptor(Accept accept, QObject* parent)
    : QTcpServer(parent), accept_(std::move(accept)) {
  setListenBacklogSize(kListenBacklog);
}

Result<std::uint16_t> TcpAcceptor::Listen(const std::string& address,
                                          std::uint16_t port) {
  if (!listen(QHostAddress(QString::fromStdString(address)), port)) {
    return Fail({ErrorCode::kUnreachable, "listen",
                 address + ":" + std::to_string(port),
                 errorString().toStdString()});
  }
  return serverPort();
}

void TcpAcceptor::incomingConnection(qintptr descriptor) {
  accept_(descriptor);
}

}  // namespace pathcleat
