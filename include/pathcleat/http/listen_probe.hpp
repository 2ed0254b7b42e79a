// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "pathcleat/core/time.hpp"

namespace pathcleat {

/// @brief Finds out whether the process behind an address has ended: a machine
/// that lives refuses connections to a port where nobody listens. Nothing is
/// sent. Callbacks are not called once this object is gone.
/// @ingroup http
class ListenProbe {
 public:
  explicit ListenProbe(boost::asio::io_context& loop) : loop_(loop) {}

  /// @param timeout for the machine to answer.
  /// @param refused called if the connection is refused, and never otherwise:
  /// silence says nothing of the process.
  void Probe(const boost::asio::ip::tcp::endpoint& endpoint,
             Duration timeout,
             std::function<void()> refused);

 private:
  boost::asio::io_context& loop_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace pathcleat
