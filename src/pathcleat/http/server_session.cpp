// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "server_session.hpp"

#include <poll.h>

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <utility>

#include "pathcleat/http/http_codec.hpp"
#include "pathcleat/http/http_status.hpp"

namespace pathcleat {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// Half-sent requests and idle connections make room at once where there are
// any; what is under way takes seconds at most.
constexpr const char* kComeBackSeconds = "1";
constexpr std::size_t kReadChunk = 8UL * 1024;
constexpr Duration kLingerTime{2'000'000};
// A caller that has left is known in time for its work to be cancelled within
// the 0.5 s that the users' rules allow.
constexpr std::chrono::milliseconds kWatchPeriod{100};

int StatusOf(const error_code& error) {
  if (error == http::error::header_limit) {
    return http_status::kHeaderTooLarge;
  }
  if (error == http::error::body_limit) {
    return http_status::kPayloadTooLarge;
  }
  return http_status::kBadRequest;
}

// Any transfer coding but a lone "chunked" leaves the body's end unknown.
template <class Fields>
bool HasUnknownFraming(const Fields& fields) {
  const auto codings = fields.equal_range(http::field::transfer_encoding);
  int count = 0;
  for (auto field = codings.first; field != codings.second; ++field) {
    ++count;
    if (!boost::beast::iequals(field->value(), "chunked")) {
      return true;
    }
  }
  const bool has_length = fields.count(http::field::content_length) > 0;
  return count > 1 || (count == 1 && has_length) ||
         fields.count(http::field::content_length) > 1;
}

}  // namespace

ServerSession::ServerSession(HttpServer& server,
                             boost::asio::ip::tcp::socket socket)
    : server_(&server),
      socket_(std::move(socket)),
      watch_timer_(socket_.get_executor()) {
  error_code error;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), error);
  const auto peer = socket_.remote_endpoint(error);
  caller_ = error ? std::string() : peer.address().to_string();
  StartRequest();
}

void ServerSession::Start() {
  Read();
}

void ServerSession::Detach() {
  server_ = nullptr;
  if (exchange_) {
    exchange_->OnAnswered(nullptr);
    std::exchange(exchange_, nullptr)->Abandon();
  }
  Close();
}

// What a caller has sent, also if this host has not come to read it yet, is
// read and answered. A read that has ended is handled first.
void ServerSession::CloseGracefully() {
  last_request_ = true;
  boost::asio::post(socket_.get_executor(),
                    [self = shared_from_this()] { self->CloseIfIdle(); });
}

void ServerSession::CloseIfIdle() {
  error_code error;
  const bool unread = !closed_ && socket_.available(error) > 0;
  const bool idle = !exchange_ && !writing_ && !parser_->got_some() &&
                    buffer_.size() == 0 && !unread;
  if (idle && !closing_ && !closed_) {
    BeginClose();
  }
}

void ServerSession::StartRequest() {
  parser_.emplace();
  parser_->header_limit(server_->limits().max_header_bytes);
  parser_->body_limit(server_->limits().max_body_bytes);
  header_seen_ = false;
  phase_began_ = BootClock::now();
}

void ServerSession::Read() {
  if (reading_ || closed_ || (ended_ && !closing_)) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadChunk),
      [self = shared_from_this()](const error_code& error, std::size_t bytes) {
        self->OnRead(error, bytes);
      });
}

void ServerSession::OnRead(const error_code& error, std::size_t bytes) {
  reading_ = false;
  if (closed_) {
    return;
  }
  if (error) {
    OnReadEnd(error);
    return;
  }
  if (closing_) {
    Read();
    return;
  }
  buffer_.commit(bytes);
  if (!exchange_ && !writing_) {
    Parse();
    return;
  }
  // A caller that sends ahead without end is read again after its answer.
  if (buffer_.size() < server_->limits().max_header_bytes) {
    Read();
  } else {
    WatchCaller();
  }
}

void ServerSession::OnReadEnd(const error_code& error) {
  if (error == boost::asio::error::eof && !closing_) {
    OnCallerEnded();
  } else {
    Close();
  }
}

// The end of what a caller sends looks the same whether it has gone or waits.
// An answer that is being written is worth its end; whoever works on one is
// told.
void ServerSession::OnCallerEnded() {
  if (ended_) {
    return;
  }
  ended_ = true;
  last_request_ = true;
  const auto exchange = exchange_;
  if (!writing_ && !(exchange && exchange->NotifyCallerHalfClosed())) {
    Close();
  }
}

void ServerSession::CheckCaller() {
  const auto self = shared_from_this();
  pollfd polled{socket_.native_handle(), POLLRDHUP, 0};
  if (closed_ || ::poll(&polled, 1, 0) <= 0) {
    return;
  }
  if ((polled.revents & (POLLERR | POLLHUP)) != 0) {
    Close();
  } else {
    OnCallerEnded();
  }
}

// What is not read hides the end behind it.
void ServerSession::WatchCaller() {
  watch_timer_.expires_after(kWatchPeriod);
  watch_timer_.async_wait([self = shared_from_this()](const error_code& error) {
    if (error || self->closed_ || self->ended_ || !self->exchange_) {
      return;
    }
    self->CheckCaller();
    self->WatchCaller();
  });
}

void ServerSession::Parse() {
  while (buffer_.size() > 0 && !exchange_ && !writing_ && !closing_ &&
         !closed_) {
    if (!ParseStep()) {
      break;
    }
  }
  if (!closed_) {
    Read();
  }
}

bool ServerSession::ParseStep() {
  error_code error;
  if (!parser_->got_some()) {
    phase_began_ = BootClock::now();
  }
  const std::size_t used = parser_->put(buffer_.data(), error);
  buffer_.consume(used);
  if (error == http::error::need_more) {
    return false;
  }
  if (error) {
    Reject(StatusOf(error));
    return false;
  }
  if (parser_->is_header_done() && !header_seen_ && !CheckHeader()) {
    return false;
  }
  if (parser_->is_done()) {
    TakeRequest();
    return false;
  }
  return used > 0;
}

bool ServerSession::CheckHeader() {
  header_seen_ = true;
  const auto& message = parser_->get();
  if (HasUnknownFraming(message)) {
    Reject(http_status::kBadRequest);
    return false;
  }
  const auto announced = parser_->content_length();
  if (announced && *announced > server_->limits().max_body_bytes) {
    Reject(http_status::kPayloadTooLarge);
    return false;
  }
  parser_->eager(true);
  if (boost::beast::iequals(message[http::field::expect], "100-continue") &&
      !parser_->is_done()) {
    constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    error_code error;
    socket_.write_some(boost::asio::buffer(kContinue), error);
  }
  return true;
}

void ServerSession::TakeRequest() {
  last_request_ = last_request_ || !parser_->get().keep_alive();
  exchange_ = std::make_shared<HttpExchange>(FromBeast(parser_->release()),
                                             caller_, BootClock::now());
  exchange_->OnAnswered([this] { Answer(); });
  exchange_->OnConnectionDropped([this] { Close(); });
  exchange_->OnConnectionCheck([this] { CheckCaller(); });
  const auto exchange = exchange_;
  server_->handler_(exchange);
}

void ServerSession::Reject(int status) {
  last_request_ = true;
  buffer_.clear();
  if (server_->rejected_) {
    server_->rejected_(status, caller_);
  }
  exchange_ =
      std::make_shared<HttpExchange>(HttpRequest{}, caller_, BootClock::now());
  exchange_->OnAnswered([this] { Answer(); });
  exchange_->Respond(TextResponse(status, "request not accepted\n"));
}

void ServerSession::Answer() {
  last_request_ = last_request_ || server_->close_after_answers_;
  const bool head = exchange_->request().method == "HEAD";
  out_ = SerializeResponse(exchange_->response(), !last_request_, head);
  exchange_.reset();
  writing_ = true;
  boost::asio::async_write(
      socket_, boost::asio::buffer(out_),
      [self = shared_from_this()](const error_code& error, std::size_t) {
        self->OnWritten(error);
      });
}

void ServerSession::OnWritten(const error_code& error) {
  writing_ = false;
  out_ = std::string();
  if (closed_) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  if (last_request_) {
    BeginClose();
    return;
  }
  StartRequest();
  Parse();
}

// Closing a socket with unread bytes resets it, and the reset can overtake
// the answer. So this end is half-closed first, and what the caller still
// sends is read and dropped until it closes too or the time is up.
void ServerSession::BeginClose() {
  closing_ = true;
  phase_began_ = BootClock::now();
  buffer_.clear();
  error_code error;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
  Read();
}

void ServerSession::CheckTimeouts(Time now) {
  if (closing_ && now - phase_began_ > kLingerTime) {
    Close();
    return;
  }
  if (closing_ || exchange_ || writing_) {
    return;
  }
  const HttpLimits& limits = server_->limits();
  const bool mid_request = parser_->got_some();
  if (mid_request && now - phase_began_ > limits.read_timeout) {
    Reject(http_status::kRequestTimeout);
  } else if (!mid_request && now - phase_began_ > limits.idle_timeout) {
    Close();
  }
}

std::optional<EvictionRank> ServerSession::RankForEviction() {
  if (closing_) {
    return EvictionRank{EvictionRank::Kind::kLingering, phase_began_};
  }
  error_code error;
  if (closed_ || exchange_ || writing_ || socket_.available(error) > 0) {
    return std::nullopt;
  }
  const bool half_sent = parser_->got_some() || buffer_.size() > 0;
  return EvictionRank{half_sent ? EvictionRank::Kind::kPartialRequest
                                : EvictionRank::Kind::kIdle,
                      phase_began_};
}

// Sent as far as the connection takes it at once. What has come is read, as
// the answer would else be overtaken by a reset.
void ServerSession::Evict() {
  const bool idle = !closing_ && reading_ && !parser_->got_some();
  if (!closing_ && !idle) {
    HttpResponse response = TextResponse(http_status::kUnavailable,
                                         "not run: too many connections\n");
    response.headers.push_back({"Retry-After", kComeBackSeconds});
    const std::string text = SerializeResponse(response, false, false);
    error_code error;
    std::array<char, kReadChunk> unread{};
    socket_.non_blocking(true, error);
    socket_.read_some(boost::asio::buffer(unread), error);
    socket_.write_some(boost::asio::buffer(text), error);
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
    if (server_ != nullptr && server_->rejected_) {
      server_->rejected_(http_status::kUnavailable, caller_);
    }
  }
  Close();
}

void ServerSession::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  watch_timer_.cancel();
  error_code error;
  socket_.close(error);
  if (const auto exchange = std::exchange(exchange_, nullptr)) {
    exchange->Abandon();
  }
  if (server_ != nullptr) {
    server_->sessions_.erase(shared_from_this());
  }
}

}  // namespace pathcleat
