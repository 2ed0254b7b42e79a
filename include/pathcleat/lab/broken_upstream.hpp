// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "pathcleat/calls/header_names.hpp"
#include "pathcleat/core/error.hpp"
#include "pathcleat/lab/broken_answers.hpp"

namespace pathcleat {

/// @brief Stand-in for an upstream instance in trouble: answers each request as
/// it is told, by bytes that it does not check, and health checks soundly. Each
/// connection carries one request. Must live as long as its event loop runs.
/// @ingroup lab
class BrokenUpstream {
 public:
  /// @brief Called for each request with the size of its body in bytes; returns
  /// its answer.
  using Chooser = std::function<BrokenAnswer(std::size_t)>;

  /// @param id the instance's own, which health checks are told.
  BrokenUpstream(boost::asio::io_context& loop,
                 HeaderNames headers,
                 std::string id,
                 Chooser chooser);

  /// @brief Listens for hosts.
  /// @param port 0: any.
  /// @return the port.
  Result<std::uint16_t> Listen(const std::string& address, std::uint16_t port);

  /// @brief Requests that arrived, health checks aside.
  int arrivals() const { return arrivals_; }

  /// @brief Bytes written for endless answers, the system's buffers included.
  std::uint64_t endless_bytes() const { return endless_bytes_; }

 private:
  class Connection;

  void Accept();
  BrokenAnswer AnswerTo(const std::string& request_head);

  boost::asio::ip::tcp::acceptor acceptor_;
  HeaderNames headers_;
  std::string id_;
  Chooser chooser_;
  int arrivals_ = 0;
  std::uint64_t endless_bytes_ = 0;
};

}  // namespace pathcleat
