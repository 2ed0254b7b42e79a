// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/net/http_client_connection.hpp"

#include <sys/socket.h>

#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>
#include <utility>

#include "http_codec.hpp"

namespace pathcleat {
namespace {

namespace http = boost::beast::http;

// A read of a socket that should be silent: anything but "would block" means
// that the peer has closed it or sent what nobody asked for.
bool IsSilentAndOpen(qintptr descriptor) {
  char byte = 0;
  const auto got =
      ::recv(static_cast<int>(descriptor), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

HttpClientConnection::HttpClientConnection(std::string address,
                                           std::uint16_t port,
                                           const HttpLimits& limits,
                                           QObject* parent)
    : QObject(parent),
      address_(std::move(address)),
      port_(port),
      limits_(limits),
      socket_(new QTcpSocket(this)),
      timer_(new QTimer(this)) {
  timer_->setSingleShot(true);
  connect(timer_, &QTimer::timeout, this, [this] {
    Finish(written_ ? ClientOutcome::kTimedOut : ClientOutcome::kNotSent,
           "no answer in time");
  });
  connect(socket_, &QTcpSocket::connected, this, [this] {
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    WriteRequest();
  });
  connect(socket_, &QTcpSocket::readyRead, this, [this] { OnReadable(); });
  connect(socket_, &QTcpSocket::disconnected, this, [this] { OnGone(); });
  connect(socket_, &QTcpSocket::errorOccurred, this, [this](auto) {
    if (socket_->state() != QAbstractSocket::ConnectedState) {
      OnGone();
    }
  });
}

HttpClientConnection::~HttpClientConnection() {
  socket_->disconnect(this);
  socket_->abort();
}

void HttpClientConnection::Send(const HttpRequest& request,
                                std::chrono::milliseconds timeout,
                                Callback callback) {
  request_ = request;
  callback_ = std::move(callback);
  written_ = false;
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(limits_.header_bytes);
  parser_->body_limit(limits_.body_bytes);
  parser_->skip(request.method == "HEAD");
  timer_->start(timeout);
  if (socket_->state() == QAbstractSocket::ConnectedState) {
    WriteRequest();
  } else {
    if (!local_address_.empty()) {
      socket_->bind(QHostAddress(QString::fromStdString(local_address_)));
    }
    socket_->connectToHost(QHostAddress(QString::fromStdString(address_)),
                           port_);
  }
}

void HttpClientConnection::BindTo(const std::string& local_address) {
  local_address_ = local_address;
}

void HttpClientConnection::Cancel() {
  cancelled_ = true;
  spent_ = true;
  if (!written_) {
    Finish(ClientOutcome::kNotSent, "cancelled before it was sent");
    return;
  }
  socket_->flush();
  ::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR);
}

bool HttpClientConnection::IsReusable() const {
  return !spent_ && !callback_ &&
         socket_->state() == QAbstractSocket::ConnectedState &&
         IsSilentAndOpen(socket_->socketDescriptor());
}

void HttpClientConnection::WriteRequest() {
  if (!callback_ || written_) {
    return;
  }
  written_ = true;
  socket_->write(SerializeRequest(request_));
  socket_->flush();
}

void HttpClientConnection::OnReadable() {
  const QByteArray bytes = socket_->readAll();
  if (!callback_) {
    spent_ = true;
    return;
  }
  auto space = buffer_.prepare(static_cast<std::size_t>(bytes.size()));
  std::memcpy(space.data(), bytes.constData(),
              static_cast<std::size_t>(bytes.size()));
  buffer_.commit(static_cast<std::size_t>(bytes.size()));
  Parse();
}

void HttpClientConnection::Parse() {
  while (callback_ && buffer_.size() > 0) {
    boost::beast::error_code error;
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error == http::error::need_more) {
      return;
    }
    if (error) {
      Finish(ClientOutcome::kBroken, "answer not valid: " + error.message());
      return;
    }
    if (parser_->is_done()) {
      const bool interim = parser_->get().result_int() / 100 == 1;
      if (interim) {
        parser_.emplace();
        parser_->eager(true);
        continue;
      }
      Finish(ClientOutcome::kAnswered, "");
      return;
    }
    if (used == 0) {
      return;
    }
  }
}

void HttpClientConnection::OnGone() {
  spent_ = true;
  if (!callback_) {
    return;
  }
  if (!written_) {
    Finish(ClientOutcome::kNotSent, "no connection");
    return;
  }
  if (parser_->got_some() && parser_->need_eof()) {
    boost::beast::error_code error;
    parser_->put_eof(error);
    if (!error && parser_->is_done()) {
      Finish(ClientOutcome::kAnswered, "");
      return;
    }
  }
  Finish(ClientOutcome::kBroken, "connection closed before the whole answer");
}

void HttpClientConnection::Finish(ClientOutcome outcome, std::string detail) {
  timer_->stop();
  ClientResult result;
  result.outcome = outcome;
  result.detail = std::move(detail);
  if (outcome == ClientOutcome::kAnswered) {
    spent_ = spent_ || !parser_->get().keep_alive() || buffer_.size() > 0;
    result.response = FromBeast(parser_->release());
  } else {
    spent_ = true;
  }
  if (const auto callback = std::exchange(callback_, nullptr)) {
    QMetaObject::invokeMethod(
        this, [callback, result = std::move(result)] { callback(result); },
        Qt::QueuedConnection);
  }
}

}  // namespace pathcleat
