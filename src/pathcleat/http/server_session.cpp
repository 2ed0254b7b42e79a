// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "server_session.hpp"

#include <poll.h>

#include <algorithm>
#include <array>
#include <bit>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <utility>

#include "pathcleat/http/http_codec.hpp"
#include "pathcleat/http/http_status.hpp"
#include "pathcleat/http/message_framing.hpp"

namespace pathcleat {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kReadChunkBytes = 8UL * 1024;
constexpr std::size_t kLargeReadChunkBytes = 64UL * 1024;
// Memory of one header field beside its text, in the parser's message, in the
// request and in the copy for the upstream.
constexpr std::uint64_t kFieldBytes = 256;
constexpr std::uint64_t kCopiesOfHeaderText = 3;
constexpr Duration kLingerTime{2'000'000};
// The users' rules allow 0.5 s until the work for a caller that has
// disconnected is cancelled; this interval is short enough for that.
constexpr std::chrono::milliseconds kCallerCheckInterval{100};

RejectionCause CauseOf(const error_code& error) {
  if (error == http::error::header_limit) {
    return RejectionCause::kHeaderTooLarge;
  }
  if (error == http::error::body_limit) {
    return RejectionCause::kBodyTooLarge;
  }
  if (error == http::error::buffer_overflow) {
    return RejectionCause::kNoMemory;
  }
  return RejectionCause::kMalformed;
}

template <class Fields>
std::uint64_t MemoryOf(const Fields& fields) {
  std::uint64_t bytes = 0;
  for (const auto& field : fields) {
    const std::size_t text = field.name_string().size() + field.value().size();
    bytes += kFieldBytes + kCopiesOfHeaderText * text;
  }
  return bytes;
}

}  // namespace

ServerSession::ServerSession(HttpServer& server,
                             boost::asio::ip::tcp::socket socket)
    : server_(&server),
      socket_(std::move(socket)),
      caller_check_timer_(socket_.get_executor()),
      memory_(server.memory_budget_) {
  error_code error;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), error);
  if (server.memory_budget_) {
    SetReceiveBuffer(socket_, receive_buffer_);
  }
  const auto peer = socket_.remote_endpoint(error);
  caller_ip_ = error ? std::string() : peer.address().to_string();
  StartRequest();
}

void ServerSession::Start() {
  Run(EntryPoint::kConnection, [this] { Read(); });
}

template <class Step>
void ServerSession::Run(EntryPoint where, Step&& step) {
  const auto self = shared_from_this();
  if (server_ == nullptr) {
    step();
  } else if (!server_->Run(where, caller_ip_, std::forward<Step>(step))) {
    EndAfterFailure();
  }
}

bool ServerSession::ReserveMemory() {
  return memory_.ReserveConnection(0);
}

void ServerSession::Detach() {
  server_ = nullptr;
  if (exchange_) {
    exchange_->OnAnswered(nullptr);
    std::exchange(exchange_, nullptr)->Abandon();
  }
  Close();
}

// A request that the caller has already sent is answered, even if this host has
// not read it yet. The check is posted to the event loop, so that a completed
// read is handled first.
void ServerSession::CloseGracefully() {
  last_request_ = true;
  boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->Run(EntryPoint::kConnection, [self] { self->CloseIfIdle(); });
  });
}

void ServerSession::CloseIfIdle() {
  error_code error;
  const bool unread = !closed_ && socket_.available(error) > 0;
  const bool idle = !exchange_ && !writing_ && !parser_->got_some() &&
                    buffer_.size() == 0 && !unread;
  if (idle && !closing_ && !closed_) {
    StartLingeringClose();
  }
}

void ServerSession::StartRequest() {
  parser_.emplace();
  parser_->header_limit(server_->limits().max_header_bytes);
  parser_->body_limit(MaxBodyBytes());
  header_checked_ = false;
  phase_started_at_ = BootClock::now();
}

// A body that this host can never hold is too large for it, whatever the limit.
std::uint64_t ServerSession::MaxBodyBytes() const {
  const std::uint64_t limit = server_->limits().max_body_bytes;
  return server_->memory_budget_
             ? std::min(limit, server_->memory_budget_->MaxRequestBytes())
             : limit;
}

void ServerSession::Read() {
  if (reading_ || closed_ || (caller_half_closed_ && !closing_)) {
    return;
  }
  reading_ = true;
  const bool reads_large_body =
      !exchange_ && receive_buffer_ > kSmallReceiveBuffer;
  const std::size_t chunk =
      reads_large_body ? kLargeReadChunkBytes : kReadChunkBytes;
  if (buffer_.size() == 0 && buffer_.capacity() > chunk) {
    buffer_.shrink_to_fit();
  } else if (buffer_.size() >= kReadChunkBytes && !reads_large_body) {
    // At once to its final size: growth in steps would fragment the heap.
    buffer_.reserve(server_->limits().max_header_bytes + kReadChunkBytes);
  }
  socket_.async_read_some(
      buffer_.prepare(chunk),
      [self = shared_from_this()](const error_code& error, std::size_t bytes) {
        self->Run(EntryPoint::kConnection, [&] { self->OnRead(error, bytes); });
      });
}

void ServerSession::OnRead(const error_code& error, std::size_t bytes) {
  reading_ = false;
  if (closed_) {
    return;
  }
  if (error) {
    OnReadError(error);
    return;
  }
  if (closing_) {
    Read();
    return;
  }
  buffer_.commit(bytes);
  received_ += bytes;
  if (!exchange_ && !writing_) {
    Parse();
  } else {
    ReadAhead();
  }
}

void ServerSession::ReadAhead() {
  if (buffer_.size() < kReadChunkBytes) {
    Read();
  } else {
    PauseReading();
  }
}

// Stops reading from a caller that keeps sending. Reading continues after the
// answer. A larger receive buffer lets the end of the connection arrive behind
// unread bytes, so that a caller that leaves is detected. Without memory even
// for the small one, the connection ends with the answer.
void ServerSession::PauseReading() {
  if (memory_.ReserveConnection(kReadChunkBytes +
                                UnreadBytesFor(kPausedReceiveBuffer))) {
    ResizeReceiveBuffer(kPausedReceiveBuffer);
  } else if (!memory_.ReserveConnection(kReadChunkBytes +
                                        UnreadBytesFor(kSmallReceiveBuffer))) {
    last_request_ = true;
  }
  PollCaller();
}

void ServerSession::ResizeReceiveBuffer(std::size_t bytes) {
  if (server_->memory_budget_ && receive_buffer_ != bytes) {
    receive_buffer_ = bytes;
    SetReceiveBuffer(socket_, bytes);
  }
}

void ServerSession::OnReadError(const error_code& error) {
  if (error == boost::asio::error::eof && !closing_) {
    OnCallerHalfClosed();
  } else {
    Close();
  }
}

// A half-close looks the same whether the caller has disconnected or waits for
// its answer. An answer that is being written is completed; the handler of a
// request in progress is notified.
void ServerSession::OnCallerHalfClosed() {
  if (caller_half_closed_) {
    return;
  }
  caller_half_closed_ = true;
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
    OnCallerHalfClosed();
  }
}

// Checks repeatedly whether the caller has closed the connection. A read would
// not detect the close until all bytes before it are read.
void ServerSession::PollCaller() {
  caller_check_timer_.expires_after(kCallerCheckInterval);
  caller_check_timer_.async_wait(
      [self = shared_from_this()](const error_code& error) {
        if (error || self->closed_ || self->caller_half_closed_ ||
            !self->exchange_) {
          return;
        }
        self->Run(EntryPoint::kConnection, [self] {
          self->CheckCaller();
          self->PollCaller();
        });
      });
}

void ServerSession::Parse() {
  while (buffer_.size() > 0 && !exchange_ && !writing_ && !closing_ &&
         !closed_) {
    if (!ParseStep()) {
      break;
    }
  }
  if (closed_) {
    return;
  }
  const bool waits_for_caller = !exchange_ && !writing_ && !closing_;
  if (waits_for_caller && (parser_->got_some() || buffer_.size() > 0)) {
    AwaitRequest();
  }
  if (waits_for_caller || closing_) {
    Read();
  } else {
    ReadAhead();
  }
}

void ServerSession::AwaitRequest() {
  if (!ReserveRequest()) {
    Reject(RejectionCause::kNoMemory);
    return;
  }
  memory_.AwaitRequest(std::exchange(received_, 0),
                       [this] { Evict(RejectionCause::kStalled); });
}

// Memory of the incomplete request, as far as its header tells.
std::uint64_t ServerSession::RequestBytes(std::size_t receive_buffer) const {
  const std::uint64_t read_ahead =
      buffer_.capacity() - std::min(buffer_.capacity(), kReadChunkBytes);
  if (!parser_->is_header_done()) {
    return read_ahead;
  }
  const std::uint64_t announced = parser_->content_length().value_or(0);
  const std::uint64_t arrived = parser_->get().body().size();
  const std::uint64_t unread =
      receive_buffer > kSmallReceiveBuffer ? UnreadBytesFor(receive_buffer) : 0;
  return header_memory_ + std::max(announced, arrived) + read_ahead + unread;
}

bool ServerSession::ReserveRequest() {
  const std::size_t receive_buffer = NeededReceiveBuffer();
  if (!memory_.ReserveRequest(RequestBytes(receive_buffer))) {
    return false;
  }
  ResizeReceiveBuffer(receive_buffer);
  return true;
}

void ServerSession::ReleaseRequest() {
  memory_.ReleaseRequest();
  header_memory_ = 0;
  ResizeReceiveBuffer(kSmallReceiveBuffer);
}

// A large body would arrive slowly over a long link with a small buffer. The
// buffer of a body of unknown size grows with what has arrived.
std::size_t ServerSession::NeededReceiveBuffer() const {
  const bool waits_for_body = parser_->is_header_done() && !parser_->is_done();
  if (!waits_for_body || !server_->memory_budget_) {
    return receive_buffer_;
  }
  const std::uint64_t arrived = parser_->get().body().size();
  std::uint64_t body = parser_->content_length().value_or(0);
  if (parser_->chunked()) {
    body = std::bit_ceil(arrived);
  }
  return std::clamp<std::size_t>(body, kSmallReceiveBuffer,
                                 kLargeReceiveBuffer);
}

bool ServerSession::ParseStep() {
  error_code error;
  if (!parser_->got_some()) {
    phase_started_at_ = BootClock::now();
  }
  const std::size_t used = parser_->put(buffer_.data(), error);
  buffer_.consume(used);
  if (error == http::error::need_more) {
    RejectEndlessLine();
    return false;
  }
  if (error) {
    Reject(CauseOf(error));
    return false;
  }
  if (parser_->is_header_done() && !header_checked_ && !CheckHeader()) {
    return false;
  }
  if (parser_->is_done()) {
    HandleRequest();
    return false;
  }
  return used > 0;
}

// The parser keeps the line before a chunk, and all trailers, until they are
// complete; only the header has a limit of its own.
void ServerSession::RejectEndlessLine() {
  if (buffer_.size() >= server_->limits().max_header_bytes) {
    Reject(RejectionCause::kHeaderTooLarge);
  }
}

bool ServerSession::CheckHeader() {
  header_checked_ = true;
  const auto& message = parser_->get();
  if (HasUnknownFraming(message)) {
    Reject(RejectionCause::kMalformed);
    return false;
  }
  const auto announced = parser_->content_length();
  if (announced && *announced > MaxBodyBytes()) {
    Reject(RejectionCause::kBodyTooLarge);
    return false;
  }
  header_memory_ = MemoryOf(message);
  if (!ReserveRequest()) {
    Reject(RejectionCause::kNoMemory);
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

void ServerSession::HandleRequest() {
  last_request_ = last_request_ || !parser_->get().keep_alive();
  auto body_memory = memory_.TakeBody(parser_->get().body().size());
  exchange_ = std::make_shared<HttpExchange>(
      FromBeast(parser_->release(), std::move(body_memory)), caller_ip_,
      BootClock::now());
  exchange_->OnAnswered(
      [this] { Run(EntryPoint::kConnection, [this] { WriteResponse(); }); });
  exchange_->OnConnectionDropped([this] { Close(); });
  exchange_->OnConnectionCheck([this] { CheckCaller(); });
  const auto exchange = exchange_;
  Run(EntryPoint::kRequest, [this, &exchange] { server_->handler_(exchange); });
}

void ServerSession::ReportRejection(RejectionCause cause) {
  if (server_ == nullptr || !server_->on_rejected_) {
    return;
  }
  Rejection rejection{cause, caller_ip_, ""};
  if (parser_->is_header_done() && !server_->request_id_header_.empty()) {
    const auto id = parser_->get()[server_->request_id_header_];
    rejection.request_id = std::string(id);
  }
  server_->on_rejected_(rejection);
}

void ServerSession::Reject(RejectionCause cause) {
  last_request_ = true;
  ReportRejection(cause);
  buffer_.clear();
  parser_.emplace();
  ReleaseRequest();
  exchange_ = std::make_shared<HttpExchange>(HttpRequest{}, caller_ip_,
                                             BootClock::now());
  exchange_->OnAnswered([this] { WriteResponse(); });
  exchange_->Respond(ResponseTo(cause));
}

void ServerSession::WriteResponse() {
  last_request_ = last_request_ || server_->close_after_answers_;
  const bool head = exchange_->request().method == "HEAD";
  const HttpResponse& response = exchange_->response();
  response_head_ = SerializeHead(response, !last_request_);
  if (!head && MayHaveBody(response.status)) {
    response_body_ = response.body;
  }
  exchange_.reset();
  ReleaseRequest();
  const std::size_t total = response_head_.size() + response_body_.size();
  const bool is_body_counted =
      response_body_.IsLeased() || response_body_.IsShared();
  const std::size_t own = is_body_counted ? response_head_.size() : total;
  if (!memory_.ReserveAnswer(own, total, [this] { OnAnswerNotRead(); }) &&
      own > MemoryBudget::kLargeBytes) {
    OnAnswerNotRead();
    return;
  }
  writing_ = true;
  write_progress_at_ = BootClock::now();
  const std::array<boost::asio::const_buffer, 2> bytes{
      boost::asio::buffer(response_head_),
      boost::asio::buffer(response_body_.view())};
  const auto self = shared_from_this();
  boost::asio::async_write(
      socket_, bytes,
      [self, total](const error_code& error, std::size_t written) {
        self->Run(EntryPoint::kConnection,
                  [&] { self->OnWriteProgress(written); });
        return error ? 0 : total - written;
      },
      [self](const error_code& error, std::size_t) {
        self->Run(EntryPoint::kConnection, [&] { self->OnWritten(error); });
      });
}

void ServerSession::OnWriteProgress(std::size_t written) {
  if (written > 0 && !closed_) {
    write_progress_at_ = BootClock::now();
    memory_.OnAnswerProgress(written);
  }
}

void ServerSession::OnAnswerNotRead() {
  const auto self = shared_from_this();
  ReportRejection(RejectionCause::kUnreadAnswer);
  Close();
}

void ServerSession::OnWritten(const error_code& error) {
  writing_ = false;
  response_head_.clear();
  response_body_ = {};
  if (closed_) {
    return;
  }
  memory_.ReleaseAnswer();
  if (error) {
    Close();
    return;
  }
  if (last_request_) {
    StartLingeringClose();
    return;
  }
  memory_.ReserveConnection(0);
  StartRequest();
  Parse();
}

// Closing a socket with unread bytes resets the connection, and the reset can
// overtake the answer. So this host half-closes the connection first and drops
// what the caller still sends, until the caller closes or kLingerTime is over.
void ServerSession::StartLingeringClose() {
  closing_ = true;
  phase_started_at_ = BootClock::now();
  buffer_.clear();
  error_code error;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
  Read();
}

void ServerSession::CheckTimeouts(Time now) {
  Run(EntryPoint::kConnection, [this, now] { ApplyTimeouts(now); });
}

void ServerSession::ApplyTimeouts(Time now) {
  if (closing_ && now - phase_started_at_ > kLingerTime) {
    Close();
    return;
  }
  const HttpLimits& limits = server_->limits();
  if (writing_ && now - write_progress_at_ > limits.idle_timeout) {
    OnAnswerNotRead();
    return;
  }
  if (closing_ || exchange_ || writing_) {
    return;
  }
  const bool mid_request = parser_->got_some();
  if (mid_request && now - phase_started_at_ > limits.read_timeout) {
    Reject(RejectionCause::kTimedOut);
  } else if (!mid_request && now - phase_started_at_ > limits.idle_timeout) {
    Close();
  }
}

std::optional<EvictionRank> ServerSession::RankForEviction() {
  if (closing_) {
    return EvictionRank{EvictionRank::Kind::kLingering, phase_started_at_};
  }
  error_code error;
  if (closed_ || exchange_ || writing_ || socket_.available(error) > 0) {
    return std::nullopt;
  }
  const bool partial = parser_->got_some() || buffer_.size() > 0;
  return EvictionRank{
      partial ? EvictionRank::Kind::kPartialRequest : EvictionRank::Kind::kIdle,
      phase_started_at_};
}

// Writes as much of the answer as fits into the socket without blocking.
// Received bytes are read first: a close with unread bytes would reset the
// connection, and the reset could overtake the answer.
void ServerSession::Evict(RejectionCause cause) {
  const auto self = shared_from_this();
  const bool idle = !closing_ && reading_ && !parser_->got_some();
  if (!closing_ && !idle) {
    const HttpResponse response = ResponseTo(cause);
    const std::string text =
        SerializeHead(response, false) + response.body.str();
    error_code error;
    std::array<char, kReadChunkBytes> unread{};
    socket_.non_blocking(true, error);
    socket_.read_some(boost::asio::buffer(unread), error);
    socket_.write_some(boost::asio::buffer(text), error);
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
    ReportRejection(cause);
  }
  Close();
}

void ServerSession::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  caller_check_timer_.cancel();
  error_code error;
  socket_.close(error);
  buffer_.clear();
  buffer_.shrink_to_fit();
  parser_.emplace();
  response_body_ = {};
  memory_.ReleaseAll();
  if (const auto exchange = std::exchange(exchange_, nullptr)) {
    exchange->Abandon();
  }
  if (server_ != nullptr) {
    server_->sessions_.erase(shared_from_this());
  }
}

}  // namespace pathcleat
