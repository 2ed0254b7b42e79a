// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>

namespace pathcleat {

/// Receive buffer of a connection without a large request. As large as what a
/// caller sends before the first acknowledgement, so that only larger requests
/// wait for a larger buffer.
inline constexpr std::size_t kSmallReceiveBuffer = 16UL * 1024;

/// Receive buffer of a connection that is not read until its answer is sent.
inline constexpr std::size_t kPausedReceiveBuffer = 64UL * 1024;

/// Largest receive buffer of a connection with a large request.
inline constexpr std::size_t kLargeReceiveBuffer = 256UL * 1024;

/// @brief Bytes that may lie unread in the kernel for a receive buffer of a
/// given size: Linux doubles the size for its own overhead, and large segments
/// cause little overhead.
constexpr std::uint64_t UnreadBytesFor(std::size_t receive_buffer) {
  return 2 * std::uint64_t{receive_buffer};
}

/// @brief Gives connections that arrive from now on, also those not accepted
/// yet, a small receive buffer that can still grow to a large window. Must be
/// called before the socket listens.
void LimitReceiveBuffers(boost::asio::ip::tcp::acceptor& acceptor);

/// @brief Sets the receive buffer of a connection.
void SetReceiveBuffer(boost::asio::ip::tcp::socket& socket, std::size_t bytes);

}  // namespace pathcleat
