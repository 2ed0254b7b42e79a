// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/net/http_server_connection.hpp"
#include "pathcleat/net/http_status.hpp"

#include <sys/socket.h>

#include <QHostAddress>
#include <QTimer>
#include <boost/asio/buffer.hpp>
#include <utility>

#include "http_codec.hpp"

namespace pathcleat {
namespace {

namespace http = boost::beast::http;

constexpr std::chrono::milliseconds kLingerTime{2'000};
constexpr qint64 kReadChunk = 64LL * 1024;
constexpr qint64 kUnsentBytesLimit = 4LL * 1024 * 1024;

int StatusOf(const boost::beast::error_code& error) {
  if (error == http::error::header_limit) {
    return http_status::kHeaderTooLarge;
  }
  if (error == http::error::body_limit) {
    return http_status::kPayloadTooLarge;
  }
  return http_status::kBadRequest;
}

}  // namespace

HttpServerConnection::HttpServerConnection(qintptr descriptor,
                                           const HttpLimits& limits,
                                           BodyLimit body_limit,
                                           HttpHandler handler,
                                           QObject* parent)
    : QObject(parent),
      socket_(new QTcpSocket(this)),
      timer_(new QTimer(this)),
      limits_(limits),
      body_limit_(std::move(body_limit)),
      handler_(std::move(handler)) {
  socket_->setReadBufferSize(kReadChunk);
  socket_->setSocketDescriptor(descriptor);
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  caller_ = socket_->peerAddress().toString().toStdString();
  timer_->setSingleShot(true);
  connect(timer_, &QTimer::timeout, this, [this] { OnTimeout(); });
  connect(socket_, &QTcpSocket::readyRead, this, [this] { OnReadable(); });
  connect(socket_, &QTcpSocket::bytesWritten, this, [this] { OnReadable(); });
  connect(socket_, &QTcpSocket::disconnected, this, [this] { OnGone(); });
  StartRequest();
  ArmTimer();
}

HttpServerConnection::~HttpServerConnection() {
  socket_->disconnect(this);
  for (const auto& exchange : exchanges_) {
    exchange->OnAnswered(nullptr);
  }
}

void HttpServerConnection::FinishAndClose() {
  closing_ = true;
  FlushAnswers();
}

void HttpServerConnection::OnRejected(
    std::function<void(int, const std::string&)> callback) {
  on_rejected_ = std::move(callback);
}

void HttpServerConnection::StartRequest() {
  parser_.emplace();
  parser_->header_limit(limits_.header_bytes);
  parser_->body_limit(limits_.body_bytes);
  header_seen_ = false;
}

void HttpServerConnection::OnReadable() {
  if (discarding_) {
    Discard();
    return;
  }
  while (!last_request_taken_ &&
         exchanges_.size() < limits_.pipelined_requests &&
         socket_->bytesToWrite() < kUnsentBytesLimit &&
         (socket_->bytesAvailable() > 0 || buffer_.size() > 0)) {
    const qint64 available = std::min(socket_->bytesAvailable(), kReadChunk);
    auto space = buffer_.prepare(static_cast<std::size_t>(available));
    const qint64 got = socket_->read(static_cast<char*>(space.data()),
                                     static_cast<qint64>(space.size()));
    buffer_.commit(static_cast<std::size_t>(std::max<qint64>(got, 0)));
    const std::size_t before = buffer_.size();
    ParseBuffered();
    if (buffer_.size() == before && socket_->bytesAvailable() == 0) {
      break;
    }
  }
}

void HttpServerConnection::ParseBuffered() {
  while (buffer_.size() > 0 && !last_request_taken_ &&
         exchanges_.size() < limits_.pipelined_requests) {
    if (!ParseStep()) {
      return;
    }
  }
}

bool HttpServerConnection::ParseStep() {
  boost::beast::error_code error;
  const bool begins = !parser_->got_some();
  const std::size_t used = parser_->put(buffer_.data(), error);
  buffer_.consume(used);
  if (begins) {
    // The time for a whole request runs from its first byte.
    timer_->start(limits_.read_time);
  }
  if (error == http::error::need_more) {
    return false;
  }
  if (error) {
    Reject(StatusOf(error));
    return false;
  }
  if (parser_->is_header_done() && !header_seen_) {
    OnHeader();
  }
  if (parser_->is_done()) {
    TakeRequest();
    return true;
  }
  return used > 0;
}

void HttpServerConnection::OnHeader() {
  header_seen_ = true;
  const auto& message = parser_->get();
  const std::uint64_t limit =
      body_limit_ ? body_limit_(std::string_view(message.method_string()),
                                std::string_view(message.target()))
                  : limits_.body_bytes;
  const auto announced = parser_->content_length();
  if (announced && *announced > limit) {
    Reject(http_status::kPayloadTooLarge);
    return;
  }
  parser_->body_limit(limit);
  // From here on the parser may read the body too.
  parser_->eager(true);
  if (boost::beast::iequals(message[http::field::expect], "100-continue")) {
    socket_->write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  ArmTimer();
}

void HttpServerConnection::TakeRequest() {
  if (last_request_taken_) {
    return;
  }
  last_request_taken_ = !parser_->get().keep_alive();
  auto exchange =
      std::make_shared<HttpExchange>(FromBeast(parser_->release()), caller_);
  exchange->OnAnswered([this] { FlushAnswers(); });
  exchanges_.push_back(exchange);
  StartRequest();
  ArmTimer();
  handler_(exchange);
}

void HttpServerConnection::Reject(int status) {
  last_request_taken_ = true;
  buffer_.clear();
  if (on_rejected_) {
    on_rejected_(status, caller_);
  }
  auto exchange = std::make_shared<HttpExchange>(HttpRequest{}, caller_);
  exchange->Respond(TextResponse(status, "request not accepted\n"));
  exchanges_.push_back(exchange);
  FlushAnswers();
}

void HttpServerConnection::FlushAnswers() {
  while (!exchanges_.empty() && exchanges_.front()->answered()) {
    const HttpExchangePtr exchange = exchanges_.front();
    exchanges_.pop_front();
    const bool is_last = exchanges_.empty();
    Write(*exchange, !(is_last && (closing_ || last_request_taken_)));
  }
  if (exchanges_.empty() && (closing_ || last_request_taken_)) {
    BeginClose();
    return;
  }
  ArmTimer();
}

// Closing a socket with unread bytes resets it, and the reset can overtake
// the answer. So this end is half-closed first, and what the caller still
// sends is read and dropped until it closes too or the time is up.
void HttpServerConnection::BeginClose() {
  discarding_ = true;
  timer_->start(kLingerTime);
  Discard();
}

void HttpServerConnection::Discard() {
  socket_->readAll();
  if (!half_closed_ && socket_->bytesToWrite() == 0) {
    half_closed_ = true;
    ::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR);
  }
}

void HttpServerConnection::Write(const HttpExchange& exchange,
                                 bool keep_alive) {
  const bool head = exchange.request().method == "HEAD";
  socket_->write(SerializeResponse(exchange.response(), keep_alive, head));
}

void HttpServerConnection::OnTimeout() {
  if (discarding_) {
    socket_->abort();
    OnGone();
    return;
  }
  const bool mid_request = buffer_.size() > 0 || parser_->got_some();
  if (mid_request && !last_request_taken_) {
    Reject(http_status::kRequestTimeout);
  } else if (exchanges_.empty()) {
    socket_->abort();
    OnGone();
  }
}

void HttpServerConnection::OnGone() {
  const auto abandoned = std::exchange(exchanges_, {});
  for (const auto& exchange : abandoned) {
    exchange->Abandon();
  }
  deleteLater();
}

void HttpServerConnection::ArmTimer() {
  const bool mid_request = parser_->got_some();
  timer_->start(mid_request ? limits_.read_time : limits_.idle_time);
}

}  // namespace pathcleat
