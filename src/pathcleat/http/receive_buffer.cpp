// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#include "receive_buffer.hpp"

#include <sys/socket.h>

#include <boost/asio/socket_base.hpp>

namespace pathcleat {
namespace {

using boost::asio::socket_base;

// Missing in older headers of the C library.
constexpr int kBufferLockOption = 72;  // SO_BUF_LOCK, Linux 5.14

}  // namespace

void LimitReceiveBuffers(boost::asio::ip::tcp::acceptor& acceptor) {
  boost::system::error_code ignored;
  acceptor.set_option(
      socket_base::receive_buffer_size(static_cast<int>(kSmallReceiveBuffer)),
      ignored);
  // A locked buffer size would limit the window scale of the connections, which
  // is fixed when a connection is opened.
  const int unlocked = 0;
  ::setsockopt(acceptor.native_handle(), SOL_SOCKET, kBufferLockOption,
               &unlocked, sizeof unlocked);
}

void SetReceiveBuffer(boost::asio::ip::tcp::socket& socket, std::size_t bytes) {
  boost::system::error_code ignored;
  socket.set_option(socket_base::receive_buffer_size(static_cast<int>(bytes)),
                    ignored);
}

}  // namespace pathcleat
