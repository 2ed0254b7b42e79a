// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/http_client.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <exception>
#include <utility>

#include "pathcleat/core/loop_passes.hpp"
#include "pathcleat/http/http_codec.hpp"

namespace pathcleat {
namespace {

using boost::system::error_code;

constexpr std::size_t kReadChunkBytes = 8UL * 1024;
// Limits what the kernel holds of an answer that this host has not read yet.
constexpr int kReceiveBufferBytes = 512 * 1024;
constexpr const char* kSilentDetail = "the connection is silent";

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

void HttpClient::OnReadError(const error_code& error) {
  silent_ = error == boost::asio::error::timed_out;
  peer_closed_ = !silent_;
  if (!callback_) {
    Close();
  } else if (silent_) {
    Fail(CallOutcome::kConnectionLost, kSilentDetail);
  } else {
    OnConnectionEnd(error == boost::asio::error::eof);
  }
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
