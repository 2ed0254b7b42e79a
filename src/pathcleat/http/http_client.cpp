// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/http/http_client.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <chrono>
#include <utility>

#include "pathcleat/http/http_codec.hpp"

namespace pathcleat {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kReadChunk = 8UL * 1024;
constexpr int kMostStrangers = 2;
constexpr int kFirstFinalStatus = 200;
constexpr const char* kSilentText = "the connection is silent";

// A peer that is cut off says nothing: probes find it out where nothing is
// written, as in a long watch. A second is the shortest that TCP knows.
constexpr int kProbeAfterSeconds = 1;

// Probes without an acknowledgement that fit into the limit.
int ProbesWithin(Duration limit) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(limit).count() -
                       kProbeAfterSeconds;
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
    : endpoint_(std::move(endpoint)),
      limits_(limits),
      socket_(loop),
      timer_(loop) {}

void HttpClient::Send(const HttpRequest& request,
                      const CallTimeouts& timeouts,
                      Callback callback,
                      Matcher matcher) {
  out_ = SerializeRequest(request);
  head_ = request.method == "HEAD";
  callback_ = std::move(callback);
  matcher_ = std::move(matcher);
  strangers_ = 0;
  received_ = 0;
  written_ = false;
  heard_ = false;
  timeouts_ = timeouts;
  deadline_ = BootClock::now() + timeouts.total;
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

void HttpClient::Cancel() {
  if (callback_ && connected_ && !written_) {
    // The rest of a body would still be sent from the system's buffers.
    error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  }
  callback_ = nullptr;
  on_opened_ = nullptr;
  Close();
}

void HttpClient::StartParser() {
  parser_.emplace();
  parser_->header_limit(limits_.max_header_bytes);
  parser_->body_limit(limits_.max_body_bytes);
  parser_->eager(true);
  parser_->skip(head_);
}

void HttpClient::Connect(Duration timeout) {
  ArmTimer(timeout, &HttpClient::OnNoConnection);
  if (!local_address_.empty()) {
    error_code ignored;
    const auto local = boost::asio::ip::make_address(local_address_, ignored);
    socket_.open(endpoint_.protocol(), ignored);
    socket_.bind({local, 0}, ignored);
  }
  const Time began = BootClock::now();
  socket_.async_connect(
      endpoint_, [self = shared_from_this(), began](const error_code& error) {
        if (self->closed_ || !self->callback_) {
          return;
        }
        if (error) {
          self->Fail(CallOutcome::kNotSent, error.message());
          return;
        }
        self->OnConnected(began);
      });
}

void HttpClient::OnConnected(Time began) {
  const auto limit =
      std::chrono::duration_cast<std::chrono::milliseconds>(silence_limit_);
  error_code ignored;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket_.set_option(UserTimeout(static_cast<int>(limit.count())), ignored);
  socket_.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket_.set_option(KeepAliveIdle(kProbeAfterSeconds), ignored);
  socket_.set_option(KeepAliveInterval(kProbeAfterSeconds), ignored);
  socket_.set_option(KeepAliveCount(ProbesWithin(silence_limit_)), ignored);
  if (const auto opened = std::exchange(on_opened_, nullptr)) {
    opened();
  }
  if (closed_) {
    return;
  }
  connected_ = true;
  opened_at_ = BootClock::now();
  connect_time_ = opened_at_ - began;
  heard_at_ = opened_at_;
  Write();
}

bool HttpClient::HasUnacknowledgedBytes() {
  tcp_info info{};
  socklen_t size = sizeof info;
  return connected_ &&
         ::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                      &size) == 0 &&
         info.tcpi_unacked > 0;
}

void HttpClient::Write() {
  ArmLimit();
  boost::asio::async_write(
      socket_, boost::asio::buffer(out_),
      [self = shared_from_this()](const error_code& error, std::size_t) {
        // A failed write shows in the reading too, after any early answer.
        self->OnWritten(!error);
      });
  Read();
}

void HttpClient::OnWritten(bool whole) {
  written_ = whole;
  if (whole && callback_ && !heard_) {
    quiet_since_ = BootClock::now();
    ArmLimit();
  }
}

void HttpClient::Read() {
  if (reading_ || closed_) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadChunk),
      [self = shared_from_this()](const error_code& error, std::size_t bytes) {
        self->OnRead(error, bytes);
      });
}

void HttpClient::OnRead(const error_code& error, std::size_t bytes) {
  reading_ = false;
  if (closed_) {
    return;
  }
  if (error) {
    OnEnd(error);
    return;
  }
  buffer_.commit(bytes);
  heard_at_ = BootClock::now();
  if (!callback_) {
    // Bytes on an idle connection belong to no request.
    Close();
    return;
  }
  if (received_ == 0) {
    first_byte_ = BootClock::now();
  }
  received_ += bytes;
  NoteHeard();
  Parse();
}

void HttpClient::NoteHeard() {
  quiet_since_ = heard_at_;
  if (!std::exchange(heard_, true)) {
    ArmLimit();
  }
}

void HttpClient::Parse() {
  error_code error;
  while (buffer_.size() > 0 && !parser_->is_done() && !error) {
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
  }
  if (error && error != http::error::need_more) {
    Fail(CallOutcome::kConnectionLost, error.message());
    return;
  }
  if (parser_->is_done()) {
    TakeResponse();
    return;
  }
  Read();
}

void HttpClient::TakeResponse() {
  const bool keep_alive = parser_->get().keep_alive();
  CallResult result;
  result.outcome = CallOutcome::kAnswered;
  result.response = FromBeast(parser_->release());
  if (result.response.status < kFirstFinalStatus) {
    AwaitNext();
    return;
  }
  if (matcher_ && !matcher_(result.response)) {
    spent_ = true;
    if (++strangers_ > kMostStrangers || !keep_alive) {
      Fail(CallOutcome::kConnectionLost, "the answer is another request's");
      return;
    }
    AwaitNext();
    return;
  }
  keep_alive_ = KeepAliveTimeout(result.response);
  spent_ = spent_ || !keep_alive || buffer_.size() > 0 || !written_;
  Finish(std::move(result));
}

// What came was not the answer: the wait for its first byte goes on.
void HttpClient::AwaitNext() {
  StartParser();
  heard_ = buffer_.size() > 0;
  ArmLimit();
  Parse();
}

void HttpClient::OnEnd(const error_code& error) {
  silent_ = error == boost::asio::error::timed_out;
  peer_ended_ = !silent_;
  if (!callback_) {
    Close();
    return;
  }
  const bool clean_end = error == boost::asio::error::eof;
  if (clean_end && parser_->is_header_done() && !parser_->is_done() &&
      parser_->need_eof()) {
    error_code ended;
    parser_->put_eof(ended);
    if (!ended) {
      TakeResponse();
      return;
    }
  }
  if (silent_) {
    Fail(CallOutcome::kConnectionLost, kSilentText);
    return;
  }
  Fail(CallOutcome::kConnectionLost,
       parser_->got_some() ? "the answer ended early"
                           : "the connection ended with no answer");
}

// A request that is still being sent is bounded by the total time and by TCP,
// which notices that nothing is taken.
Time HttpClient::Limit() const {
  const Duration quiet = heard_ ? timeouts_.progress : timeouts_.first_byte;
  const bool bounded = quiet != kNoTimeout && (heard_ || written_);
  return bounded ? std::min(deadline_, quiet_since_ + quiet) : deadline_;
}

void HttpClient::ArmLimit() {
  ArmTimer(Limit() - BootClock::now(), &HttpClient::OnLimit);
}

void HttpClient::OnLimit() {
  const Time now = BootClock::now();
  if (now < Limit()) {
    ArmLimit();
    return;
  }
  if (now >= deadline_) {
    Fail(CallOutcome::kTimedOut, "no answer in time");
    return;
  }
  // What has come and is not read yet shows this host's load, no silence.
  error_code error;
  if (socket_.available(error) > 0 && !error) {
    quiet_since_ = now;
    ArmLimit();
    return;
  }
  silent_ = true;
  Fail(CallOutcome::kTimedOut, heard_ ? "the answer stopped" : kSilentText);
}

void HttpClient::OnNoConnection() {
  Fail(CallOutcome::kNotSent, "no connection in time");
}

void HttpClient::ArmTimer(Duration timeout, void (HttpClient::*step)()) {
  // An expiry that is already queued cannot be cancelled any more; the
  // generation tells it from the one in force.
  const std::uint64_t generation = ++timer_generation_;
  timer_.expires_after(timeout);
  timer_.async_wait([self = shared_from_this(), generation,
                     step](const error_code& error) {
    if (!error && self->callback_ && generation == self->timer_generation_) {
      (self.get()->*step)();
    }
  });
}

void HttpClient::Fail(CallOutcome outcome, std::string detail) {
  spent_ = true;
  CallResult result;
  result.outcome = outcome;
  result.detail = std::move(detail);
  result.connection_silent = silent_;
  result.closed_locally = !peer_ended_;
  Finish(std::move(result));
}

void HttpClient::Finish(CallResult result) {
  ++timer_generation_;
  timer_.cancel();
  out_ = std::string();
  matcher_ = nullptr;
  on_opened_ = nullptr;
  idle_since_ = BootClock::now();
  result.received_bytes = received_;
  if (received_ > 0) {
    result.transfer_time = idle_since_ - first_byte_;
  }
  if (spent_) {
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
  spent_ = true;
  timer_.cancel();
  error_code error;
  socket_.close(error);
}

}  // namespace pathcleat
