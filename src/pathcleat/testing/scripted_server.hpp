// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>

namespace pathcleat {

/// @brief A TCP server that sends bytes given by a test over the connection
/// accepted last, all at once or one byte at a time.
class ScriptedServer {
 public:
  ScriptedServer(boost::asio::io_context& loop, const std::string& address)
      : acceptor_(loop, {boost::asio::ip::make_address(address), 0}),
        socket_(loop),
        send_timer_(loop) {
    Accept();
  }

  boost::asio::ip::tcp::endpoint endpoint() const {
    return acceptor_.local_endpoint();
  }
  int accepted_count() const { return accepted_count_; }
  bool HasReceived(const std::string& text) const {
    return received_.find(text) != std::string::npos;
  }

  void Send(const std::string& bytes) {
    boost::asio::write(socket_, boost::asio::buffer(bytes));
  }

  /// @brief Sets how many bytes of a connection are read; the rest stays
  /// unread. Must be set before the connection is accepted.
  void ReadAtMost(std::size_t bytes) { max_read_bytes_ = bytes; }

  /// @brief Sets the receive buffer of connections that are accepted later, in
  /// bytes.
  void SetReceiveBuffer(int bytes) {
    acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(bytes));
  }

  std::size_t received_bytes() const { return received_.size(); }

  /// @brief Shuts down the sending side; the server continues to read.
  void HalfClose() {
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
  }

  /// @brief Closes the connection; the system resets it if bytes are unread.
  void Close() { socket_.close(); }

  /// @brief Closes the connection with a TCP reset.
  void Reset() {
    socket_.set_option(boost::asio::socket_base::linger(true, 0));
    Close();
  }

  /// @brief Sends the bytes one at a time, with a pause after each byte.
  void SendByteByByte(std::string bytes, std::chrono::milliseconds pause) {
    if (bytes.empty()) {
      return;
    }
    Send(bytes.substr(0, 1));
    send_timer_.expires_after(pause);
    send_timer_.async_wait([this, rest = bytes.substr(1),
                            pause](const boost::system::error_code& error) {
      if (!error) {
        SendByteByByte(rest, pause);
      }
    });
  }

 private:
  void Accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error,
                                  boost::asio::ip::tcp::socket socket) {
      if (!error) {
        socket_ = std::move(socket);
        ++accepted_count_;
        Read();
        Accept();
      }
    });
  }

  void Read() {
    const std::size_t left =
        max_read_bytes_ - std::min(max_read_bytes_, received_.size());
    if (left == 0) {
      return;
    }
    socket_.async_read_some(
        boost::asio::buffer(buffer_.data(), std::min(buffer_.size(), left)),
        [this](const boost::system::error_code& error, std::size_t bytes) {
          if (!error) {
            received_.append(buffer_.data(), bytes);
            Read();
          }
        });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer send_timer_;
  std::array<char, 4096> buffer_{};
  std::string received_;
  std::size_t max_read_bytes_ = std::numeric_limits<std::size_t>::max();
  int accepted_count_ = 0;
};

}  // namespace pathcleat
