// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "pathcleat/lab/broken_upstream.hpp"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <chrono>
#include <memory>
#include <string_view>
#include <utility>

namespace pathcleat {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Small, so that an upload is still being written when the answer comes.
constexpr int kReceiveBufferBytes = 16 * 1024;
constexpr std::chrono::milliseconds kResetDelay{20};
constexpr std::size_t kRepeatedBytes = 64UL * 1024;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

// The value of a field in a request's head as received; empty if it has none.
std::string FieldOf(std::string_view head, std::string_view name) {
  std::size_t at = head.find("\r\n");
  while (at != std::string_view::npos) {
    const std::size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const std::string_view line = head.substr(begin, at - begin);
    const std::size_t colon = line.find(": ");
    if (colon != std::string_view::npos &&
        boost::beast::iequals(line.substr(0, colon), name)) {
      return std::string(line.substr(colon + 2));
    }
  }
  return "";
}

std::size_t LengthOf(std::string_view head) {
  const std::string text = FieldOf(head, "Content-Length");
  std::size_t length = 0;
  std::from_chars(text.data(), text.data() + text.size(), length);
  return length;
}

std::string Repeat(const std::string& text) {
  std::string repeated;
  while (repeated.size() < kRepeatedBytes) {
    repeated += text;
  }
  return repeated;
}

}  // namespace

// One connection of a host. Keeps itself alive by its pending operations.
class BrokenUpstream::Connection
    : public std::enable_shared_from_this<BrokenUpstream::Connection> {
 public:
  Connection(BrokenUpstream& upstream, tcp::socket socket)
      : upstream_(upstream),
        socket_(std::move(socket)),
        timer_(socket_.get_executor()) {}

  void Read() {
    socket_.async_read_some(boost::asio::buffer(buffer_.data(), BytesToRead()),
                            [self = shared_from_this()](const error_code& error,
                                                        std::size_t bytes) {
                              if (!error) {
                                self->OnRead(bytes);
                              }
                            });
  }

 private:
  bool IsHeadRead() const { return head_.ends_with(kHeadEnd); }

  // No more than the answer waits for, so that the rest stays unread.
  std::size_t BytesToRead() const {
    constexpr std::size_t kOneByte = 1;
    if (answered_) {
      return buffer_.size();
    }
    return IsHeadRead() ? std::min(buffer_.size(), body_left_) : kOneByte;
  }

  void OnRead(std::size_t bytes) {
    if (answered_) {
      Read();
      return;
    }
    if (IsHeadRead()) {
      body_left_ -= bytes;
    } else {
      head_.append(buffer_.data(), bytes);
      if (IsHeadRead()) {
        answer_ = upstream_.AnswerTo(head_);
        body_left_ = static_cast<std::size_t>(
            static_cast<double>(LengthOf(head_)) * answer_.read_share);
      }
    }
    if (IsHeadRead() && body_left_ == 0) {
      Answer();
    } else {
      Read();
    }
  }

  void Answer() {
    answered_ = true;
    boost::asio::async_write(
        socket_, boost::asio::buffer(answer_.bytes),
        [self = shared_from_this()](const error_code& error, std::size_t) {
          if (!error) {
            self->End();
          }
        });
  }

  void End() {
    error_code ignored;
    switch (answer_.end) {
      case AnswerEnd::kKeepOpen:
        Read();
        return;
      case AnswerEnd::kClose:
        socket_.close(ignored);
        return;
      case AnswerEnd::kReset:
        Reset();
        return;
      case AnswerEnd::kHalfCloseAndReset:
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        timer_.expires_after(kResetDelay);
        timer_.async_wait(
            [self = shared_from_this()](const error_code&) { self->Reset(); });
        return;
      case AnswerEnd::kHalfCloseAndRead:
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        Read();
        return;
      case AnswerEnd::kRepeat:
        answer_.repeated = Repeat(answer_.repeated);
        SendWithoutEnd();
        return;
    }
  }

  void Reset() {
    error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }

  void SendWithoutEnd() {
    boost::asio::async_write(socket_, boost::asio::buffer(answer_.repeated),
                             [self = shared_from_this()](
                                 const error_code& error, std::size_t bytes) {
                               self->upstream_.endless_bytes_ += bytes;
                               if (!error) {
                                 self->SendWithoutEnd();
                               }
                             });
  }

  BrokenUpstream& upstream_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::array<char, 64UL * 1024> buffer_{};
  std::string head_;
  std::size_t body_left_ = 0;  ///< to be read before the answer
  BrokenAnswer answer_;
  bool answered_ = false;
};

BrokenUpstream::BrokenUpstream(boost::asio::io_context& loop,
                               HeaderNames headers,
                               std::string id,
                               Chooser chooser)
    : acceptor_(loop),
      headers_(std::move(headers)),
      id_(std::move(id)),
      chooser_(std::move(chooser)) {}

Result<std::uint16_t> BrokenUpstream::Listen(const std::string& address,
                                             std::uint16_t port) {
  error_code error;
  const tcp::endpoint endpoint(boost::asio::ip::make_address(address, error),
                               port);
  acceptor_.open(endpoint.protocol(), error);
  acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  acceptor_.set_option(
      boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes),
      error);
  acceptor_.bind(endpoint, error);
  if (!error) {
    acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return Fail({ErrorCode::kRefused, "listen",
                 address + ":" + std::to_string(port), error.message()});
  }
  Accept();
  return acceptor_.local_endpoint(error).port();
}

void BrokenUpstream::Accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (!error) {
      std::make_shared<Connection>(*this, std::move(socket))->Read();
      Accept();
    }
  });
}

BrokenAnswer BrokenUpstream::AnswerTo(const std::string& request_head) {
  if (request_head.starts_with("GET /health ")) {
    return {"health",
            "HTTP/1.1 200 OK\r\n" + headers_.upstream_id + ": " + id_ +
                "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            AnswerEnd::kKeepOpen};
  }
  ++arrivals_;
  const std::string id = FieldOf(request_head, headers_.request_id);
  std::string fields = headers_.request_id + ": " + id + "\r\n";
  if (!headers_.signature.empty()) {
    fields += headers_.signature + ": signed." + id + "\r\n";
  }
  BrokenAnswer answer = chooser_(LengthOf(request_head));
  boost::algorithm::replace_all(answer.bytes, kAnswerFields, fields);
  return answer;
}

}  // namespace pathcleat
