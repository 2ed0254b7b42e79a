// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Detects that the process at an address has ended: a running machine
/// refuses connections to a port without a listener. Sends no data. Callbacks
/// are not called after this object is destroyed.
/// @ingroup http
class ListenProbe {
 public:
  explicit ListenProbe(boost::asio::io_context& loop) : loop_(loop) {}

  /// @param timeout how long to wait for the machine to answer.
  /// @param refused called only if the connection is refused; a timeout does
  /// not show whether the process has ended.
  void Probe(const boost::asio::ip::tcp::endpoint& endpoint,
             Duration timeout,
             std::function<void()> refused);

 private:
  boost::asio::io_context& loop_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pathcleat
