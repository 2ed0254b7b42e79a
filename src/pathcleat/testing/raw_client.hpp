// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

namespace pathcleat {

/// @brief A TCP client that sends bytes unchanged and records all received
/// bytes.
class RawClient {
 public:
  RawClient(boost::asio::io_context& loop,
            const std::string& address,
            std::uint16_t port)
      : shared_(std::make_shared<Shared>(loop)) {
    shared_->socket.connect({boost::asio::ip::make_address(address), port});
    Read(shared_);
  }
  ~RawClient() { Close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void Send(const std::string& bytes) {
    shared_->unsent += bytes;
    Write(shared_);
  }
  void Close() {
    boost::system::error_code error;
    shared_->socket.close(error);
  }
  /// @brief Shuts down the sending side; the client continues to read.
  void HalfClose() {
    boost::system::error_code error;
    shared_->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                             error);
  }
  /// @brief Closes the connection with a TCP reset.
  void Reset() {
    boost::system::error_code error;
    shared_->socket.set_option(boost::asio::socket_base::linger(true, 0),
                               error);
    Close();
  }
  bool IsClosed() const { return shared_->closed; }
  const std::string& received() const { return shared_->received; }
  bool HasReceived(const std::string& text) const {
    return shared_->received.find(text) != std::string::npos;
  }

 private:
  struct Shared {
    explicit Shared(boost::asio::io_context& loop) : socket(loop) {}
    boost::asio::ip::tcp::socket socket;
    std::array<char, 65536> buffer{};
    std::string received;
    std::string unsent;
    std::string sending;
    bool closed = false;
  };

  static void Write(const std::shared_ptr<Shared>& shared) {
    if (!shared->sending.empty() || shared->unsent.empty()) {
      return;
    }
    shared->sending.swap(shared->unsent);
    boost::asio::async_write(
        shared->socket, boost::asio::buffer(shared->sending),
        [shared](const boost::system::error_code& error, std::size_t) {
          shared->sending.clear();
          if (!error) {
            Write(shared);
          }
        });
  }

  static void Read(const std::shared_ptr<Shared>& shared) {
    shared->socket.async_read_some(
        boost::asio::buffer(shared->buffer),
        [shared](const boost::system::error_code& error, std::size_t bytes) {
          if (error) {
            shared->closed = true;
            return;
          }
          shared->received.append(shared->buffer.data(), bytes);
          Read(shared);
        });
  }

  std::shared_ptr<Shared> shared_;
};

}  // namespace pathcleat
