// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/http_client.hpp"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <chrono>
#include <exception>
#include <utility>

#include "pathcleat/core/loop_passes.hpp"
#include "pathcleat/http/http_codec.hpp"
#include "pathcleat/http/message_framing.hpp"

namespace pathcleat {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kReadChunkBytes = 8UL * 1024;
// Limits what the kernel holds of an answer that this host has not read yet.
constexpr int kReceiveBufferBytes = 512 * 1024;
constexpr int kMaxMismatchedResponses = 2;
constexpr int kMaxInterimResponses = 16;
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kLastStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr Duration kEndCheckInterval{2'000};
constexpr const char* kSilentDetail = "the connection is silent";
constexpr const char* kNoMemoryDetail = "no memory for the answer";

// Keep-alive probes detect a lost peer while nothing is written, e.g. while
// a watch of the store waits for a change. One second is the shortest interval
// that TCP supports.
constexpr int kProbeIntervalSeconds = 1;

// Number of probes that may stay unacknowledged before the connection is
// closed: as many as fit into the limit, at least one.
int ProbeCountWithin(Duration limit) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(limit).count() -
                       kProbeIntervalSeconds;
  return std::max(1, static_cast<int>(seconds));
}

// An answer with another status belongs to no request. No request asks for
// another protocol.
bool IsUnknownStatus(unsigned status) {
  return status < kFirstStatus || status > kLastStatus ||
         status == kSwitchingProtocols;
}

template <int Name>
using TcpOption =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, Name>;
using KeepAliveIdle = TcpOption<TCP_KEEPIDLE>;
using KeepAliveInterval = TcpOption<TCP_KEEPINTVL>;
using KeepAliveCount = TcpOption<TCP_KEEPCNT>;
using UserTimeout = TcpOption<TCP_USER_TIMEOUT>;

}  // namespace

HttpClient::HttpClient(boost::asio::io_context& loop,
                       boost::asio::ip::tcp::endpoint endpoint,
                       const HttpLimits& limits)
    : loop_(loop),
      endpoint_(std::move(endpoint)),
      limits_(limits),
      socket_(loop),
      timer_(loop) {}

void HttpClient::Send(const HttpRequest& request,
                      const CallTimeouts& timeouts,
                      Callback callback,
                      Matcher matcher) {
  request_head_ = SerializeHead(request);
  request_body_ = request.body;
  is_head_request_ = request.method == "HEAD";
  callback_ = std::move(callback);
  matcher_ = std::move(matcher);
  mismatched_responses_ = 0;
  interim_responses_ = 0;
  received_bytes_ = 0;
  request_written_ = false;
  write_failed_ = false;
  response_started_ = false;
  answer_ended_ = false;
  timeouts_ = timeouts;
  send_called_at_ = BootClock::now();
  total_deadline_ = send_called_at_ + timeouts.total;
  reused_ = connected_;
  connect_time_.reset();
  StartParser();
  if (connected_) {
    Write();
  } else {
    Connect(std::min(timeouts.connect, timeouts.total));
  }
}

void HttpClient::BindLocalAddress(const std::string& local_address) {
  local_address_ = local_address;
}

void HttpClient::ResetOnClose() {
  error_code ignored;
  socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

void HttpClient::Cancel() {
  if (callback_ && connected_ && !request_written_) {
    // Closes the socket with a reset: otherwise the operating system would
    // still send the rest of the body from its buffers.
    ResetOnClose();
  }
  callback_ = nullptr;
  on_opened_ = nullptr;
  on_head_ = nullptr;
  Close();
}

void HttpClient::StartParser() {
  answer_memory_.reset();
  head_checked_ = false;
  parser_.emplace();
  parser_->header_limit(limits_.max_header_bytes);
  parser_->body_limit(limits_.max_body_bytes);
  parser_->eager(true);
  parser_->skip(is_head_request_);
}

template <class Step>
void HttpClient::Run(Step&& step) {
  const auto self = shared_from_this();
  try {
    std::forward<Step>(step)();
  } catch (const std::exception& error) {
    if (!callback_) {
      Close();
      throw;
    }
    Fail(connected_ ? CallOutcome::kConnectionLost : CallOutcome::kNotSent,
         error.what());
  }
}

void HttpClient::OpenSocket() {
  error_code ignored;
  socket_.open(endpoint_.protocol(), ignored);
  if (memory_budget_) {
    socket_.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes),
        ignored);
  }
  if (!local_address_.empty()) {
    const auto local = boost::asio::ip::make_address(local_address_, ignored);
    socket_.bind({local, 0}, ignored);
  }
}

void HttpClient::Connect(Duration timeout) {
  ArmTimer(timeout, &HttpClient::OnConnectTimeout);
  OpenSocket();
  const Time started_at = BootClock::now();
  socket_.async_connect(endpoint_, [self = shared_from_this(),
                                    started_at](const error_code& error) {
    if (self->closed_ || !self->callback_) {
      return;
    }
    if (error) {
      self->Fail(CallOutcome::kNotSent, error.message());
      return;
    }
    if (BootClock::now() - started_at < kLateLoop) {
      self->Run([&] { self->OnConnected(started_at); });
      return;
    }
    // Whoever decides once the connection is open must know what lies ready.
    RunAfterPasses(self->loop_, kCatchUpPasses, [self, started_at] {
      if (!self->closed_ && self->callback_) {
        self->Run([&] { self->OnConnected(started_at); });
      }
    });
  });
}

void HttpClient::OnConnected(Time started_at) {
  const auto limit =
      std::chrono::duration_cast<std::chrono::milliseconds>(ack_timeout_);
  error_code ignored;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket_.set_option(UserTimeout(static_cast<int>(limit.count())), ignored);
  socket_.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket_.set_option(KeepAliveIdle(kProbeIntervalSeconds), ignored);
  socket_.set_option(KeepAliveInterval(kProbeIntervalSeconds), ignored);
  socket_.set_option(KeepAliveCount(ProbeCountWithin(ack_timeout_)), ignored);
  if (const auto opened = std::exchange(on_opened_, nullptr)) {
    opened();
  }
  if (closed_) {
    return;
  }
  connected_ = true;
  opened_at_ = BootClock::now();
  connect_time_ = opened_at_ - started_at;
  last_byte_at_ = opened_at_;
  Write();
}

bool HttpClient::HasUnacknowledgedBytes() const {
  tcp_info info{};
  socklen_t size = sizeof info;
  return connected_ &&
         ::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                      &size) == 0 &&
         info.tcpi_unacked > 0;
}

void HttpClient::Write() {
  write_started_at_ = reused_ ? send_called_at_ : opened_at_;
  ArmDeadline();
  const std::array<boost::asio::const_buffer, 2> bytes{
      boost::asio::buffer(request_head_),
      boost::asio::buffer(request_body_.view())};
  boost::asio::async_write(
      socket_, bytes,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        // A failed write does not end the request here: the read fails as well,
        // after it has returned an answer that the peer sent early.
        self->Run([&] { self->OnWritten(!error); });
      });
  Read();
}

void HttpClient::OnWritten(bool complete) {
  request_written_ = complete;
  write_failed_ = !complete;
  if (answer_ended_ && callback_) {
    FinishAnswerAtEnd();
  } else if (complete && callback_ && !response_started_) {
    last_progress_at_ = BootClock::now();
    ArmDeadline();
  }
}

void HttpClient::Read() {
  if (reading_ || closed_) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadChunkBytes),
      [self = shared_from_this()](const error_code& error, std::size_t bytes) {
        self->Run([&] { self->OnRead(error, bytes); });
      });
}

void HttpClient::OnRead(const error_code& error, std::size_t bytes) {
  reading_ = false;
  if (closed_) {
    return;
  }
  if (error) {
    OnReadError(error);
    return;
  }
  buffer_.commit(bytes);
  last_byte_at_ = BootClock::now();
  if (!callback_) {
    // Bytes that arrive on an idle connection belong to no request.
    Close();
    return;
  }
  if (received_bytes_ == 0) {
    first_byte_ = BootClock::now();
  }
  received_bytes_ += bytes;
  OnResponseBytes();
  Parse();
}

void HttpClient::OnResponseBytes() {
  last_progress_at_ = last_byte_at_;
  if (!std::exchange(response_started_, true)) {
    ArmDeadline();
  }
}

void HttpClient::Parse() {
  error_code error;
  while (buffer_.size() > 0 && !parser_->is_done() && !error) {
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
  }
  if (!CheckHead()) {
    return;
  }
  if (error && error != http::error::need_more) {
    RejectUnparsable(error);
    return;
  }
  if (!ReserveAnswer()) {
    Fail(CallOutcome::kConnectionLost, kNoMemoryDetail);
    return;
  }
  if (parser_->is_done()) {
    HandleResponse();
    return;
  }
  if (buffer_.size() >= limits_.max_header_bytes) {
    // The parser keeps the line before a chunk, and all trailers, until they
    // are complete; only the header has a limit of its own.
    RejectAnswer(AnswerFault::kTooLarge,
                 "a chunk line or trailers without end");
    return;
  }
  HandleHead();
  Read();
}

// Ends the call if the head of the answer cannot be understood.
bool HttpClient::CheckHead() {
  if (head_checked_ || !parser_->is_header_done()) {
    return true;
  }
  head_checked_ = true;
  const unsigned status = parser_->get().result_int();
  if (IsUnknownStatus(status)) {
    RejectAnswer(AnswerFault::kUnknownStatus,
                 "an answer with status " + std::to_string(status));
    return false;
  }
  if (HasUnknownFraming(parser_->get())) {
    RejectAnswer(AnswerFault::kUnknownFraming,
                 "an answer with an unknown framing");
    return false;
  }
  return true;
}

bool HttpClient::ReserveAnswer() {
  const std::uint64_t bytes = parser_->get().body().size();
  if (!memory_budget_ || bytes == 0) {
    return true;
  }
  if (!answer_memory_) {
    answer_memory_ =
        std::make_unique<MemoryLease>(memory_budget_, MemoryUse::kAnswers);
  }
  return bytes == answer_memory_->bytes() ||
         answer_memory_->Resize(bytes, last_byte_at_);
}

void HttpClient::HandleHead() {
  if (!on_head_ || !parser_->is_header_done()) {
    return;
  }
  HttpResponse head;
  head.status = static_cast<int>(parser_->get().result_int());
  for (const auto& header : parser_->get()) {
    head.headers.push_back(
        {std::string(header.name_string()), std::string(header.value())});
  }
  if (head.status >= kFirstFinalStatus && (!matcher_ || matcher_(head))) {
    std::exchange(on_head_, nullptr)(head);
  }
}

void HttpClient::HandleResponse() {
  const bool keep_alive = parser_->keep_alive();
  CallResult result;
  result.outcome = CallOutcome::kAnswered;
  result.response = FromBeast(parser_->release(), std::move(answer_memory_));
  if (result.response.status < kFirstFinalStatus) {
    if (++interim_responses_ > kMaxInterimResponses) {
      RejectAnswer(AnswerFault::kTooLarge, "too many interim answers");
      return;
    }
    ReadNextResponse();
    return;
  }
  if (matcher_ && !matcher_(result.response)) {
    must_close_ = true;
    if (++mismatched_responses_ > kMaxMismatchedResponses || !keep_alive) {
      RejectAnswer(AnswerFault::kOtherRequest,
                   "the answer is another request's");
      return;
    }
    ReadNextResponse();
    return;
  }
  keep_alive_timeout_ = KeepAliveTimeout(result.response);
  must_close_ =
      must_close_ || !keep_alive || buffer_.size() > 0 || !request_written_;
  Finish(std::move(result));
}

// Called if the response was interim (1xx) or belonged to another request. The
// first-byte timeout applies again.
void HttpClient::ReadNextResponse() {
  StartParser();
  response_started_ = buffer_.size() > 0;
  ArmDeadline();
  Parse();
}

void HttpClient::OnReadError(const error_code& error) {
  silent_ = error == boost::asio::error::timed_out;
  peer_closed_ = !silent_;
  if (!callback_) {
    Close();
    return;
  }
  const bool clean_end = error == boost::asio::error::eof;
  if (clean_end && parser_->is_header_done() && !parser_->is_done() &&
      parser_->need_eof()) {
    answer_ended_ = true;
    ArmDeadline();
    FinishAnswerAtEnd();
    return;
  }
  if (silent_) {
    Fail(CallOutcome::kConnectionLost, kSilentDetail);
    return;
  }
  if (parser_->got_some()) {
    RejectAnswer(AnswerFault::kCutOff, "the answer ended early");
    return;
  }
  Fail(CallOutcome::kConnectionLost, "the connection ended with no answer");
}

// The end of the connection is the end of an answer without a length only if
// the peer has taken the whole request. A peer that breaks off during an upload
// resets the connection, and the read may report a plain end even so: the error
// of a reset goes to whichever of the write and the read asks first.
void HttpClient::FinishAnswerAtEnd() {
  if (write_failed_ || HasSocketError()) {
    RejectAnswer(AnswerFault::kCutOff,
                 "the connection was reset before the request was taken");
    return;
  }
  if (!request_written_) {
    return;
  }
  if (HasUntakenBytes()) {
    ArmTimer(kEndCheckInterval, &HttpClient::OnEndCheck);
    return;
  }
  error_code error;
  parser_->put_eof(error);
  if (error) {
    RejectUnparsable(error);
    return;
  }
  HandleResponse();
}

void HttpClient::OnEndCheck() {
  if (BootClock::now() < total_deadline_) {
    FinishAnswerAtEnd();
  } else {
    OnDeadline();
  }
}

// Reports an error that neither a write nor a read has reported yet.
bool HttpClient::HasSocketError() const {
  int error = 0;
  socklen_t size = sizeof error;
  return ::getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &error,
                      &size) == 0 &&
         error != 0;
}

// Whether the peer's machine has not acknowledged all written bytes yet, sent
// or not.
bool HttpClient::HasUntakenBytes() const {
  int bytes = 0;
  return ::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

// While the request is being sent, only the total time and TCP's own timeout
// apply; the latter detects that the peer receives nothing. The same holds once
// the answer has ended.
Time HttpClient::CurrentDeadline() const {
  const Duration silence_timeout =
      response_started_ ? timeouts_.progress : timeouts_.first_byte;
  const bool bounded = silence_timeout != kNoTimeout && !answer_ended_ &&
                       (response_started_ || request_written_);
  return bounded
             ? std::min(total_deadline_, last_progress_at_ + silence_timeout)
             : total_deadline_;
}

void HttpClient::ArmDeadline() {
  ArmTimer(CurrentDeadline() - BootClock::now(), &HttpClient::OnDeadline);
}

void HttpClient::OnDeadline() {
  const Time now = BootClock::now();
  if (now < CurrentDeadline()) {
    ArmDeadline();
    return;
  }
  if (now >= total_deadline_) {
    Fail(CallOutcome::kTimedOut, "no answer in time");
    return;
  }
  // Received bytes that are not read yet mean that this host is busy, not that
  // the connection is silent.
  error_code error;
  if (socket_.available(error) > 0 && !error) {
    last_progress_at_ = now;
    ArmDeadline();
    return;
  }
  silent_ = true;
  Fail(CallOutcome::kTimedOut,
       response_started_ ? "the answer stopped" : kSilentDetail);
}

void HttpClient::OnConnectTimeout() {
  Fail(CallOutcome::kNotSent, "no connection in time");
}

void HttpClient::ArmTimer(Duration timeout, void (HttpClient::*on_expiry)()) {
  // An expiry that is already queued cannot be cancelled; the generation
  // distinguishes it from the current timer.
  const std::uint64_t generation = ++timer_generation_;
  timer_.expires_after(timeout);
  timer_.async_wait([self = shared_from_this(), generation,
                     on_expiry](const error_code& error) {
    if (!error && self->callback_ && generation == self->timer_generation_) {
      self->Run([&] { (self.get()->*on_expiry)(); });
    }
  });
}

void HttpClient::Fail(CallOutcome outcome, std::string detail) {
  CallResult result;
  result.outcome = outcome;
  result.detail = std::move(detail);
  EndAsFailed(std::move(result));
}

void HttpClient::RejectAnswer(AnswerFault fault, std::string detail) {
  CallResult result;
  result.outcome = CallOutcome::kConnectionLost;
  result.detail = std::move(detail);
  result.fault = fault;
  EndAsFailed(std::move(result));
}

void HttpClient::RejectUnparsable(const error_code& error) {
  if (error == http::error::buffer_overflow) {
    Fail(CallOutcome::kConnectionLost, kNoMemoryDetail);
    return;
  }
  const bool is_too_large =
      error == http::error::header_limit || error == http::error::body_limit;
  RejectAnswer(is_too_large ? AnswerFault::kTooLarge : AnswerFault::kMalformed,
               error.message());
}

void HttpClient::EndAsFailed(CallResult result) {
  must_close_ = true;
  result.connection_silent = silent_;
  result.closed_locally = !peer_closed_;
  Finish(std::move(result));
}

void HttpClient::Finish(CallResult result) {
  ++timer_generation_;
  timer_.cancel();
  request_head_.clear();
  request_body_ = {};
  answer_memory_.reset();
  matcher_ = nullptr;
  on_opened_ = nullptr;
  on_head_ = nullptr;
  idle_since_ = BootClock::now();
  result.received_bytes = received_bytes_;
  if (received_bytes_ > 0) {
    result.transfer_time = idle_since_ - first_byte_;
    result.send_delay = write_started_at_ - send_called_at_;
    result.answer_delay = first_byte_ - write_started_at_;
  }
  if (must_close_) {
    Close();
  } else {
    Read();
  }
  if (const auto callback = std::exchange(callback_, nullptr)) {
    callback(std::move(result));
  }
}

void HttpClient::Close() {
  closed_ = true;
  connected_ = false;
  must_close_ = true;
  timer_.cancel();
  error_code error;
  socket_.close(error);
}

}  // namespace pathcleat
