// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "pathcleat/core/error.hpp"
#include "pathcleat/http/http_exchange.hpp"
#include "pathcleat/http/http_limits.hpp"

namespace pathcleat {

class ServerSession;

/// @brief A listening socket and the HTTP/1.1 connections accepted from it.
/// Requests of one connection are answered in the order asked. Lives in the
/// thread of its event loop.
/// @ingroup http
class HttpServer {
 public:
  /// @brief Told of each request that was rejected before the handler saw it.
  using RejectionObserver = std::function<void(int status, const std::string&)>;

  HttpServer(boost::asio::io_context& loop, HttpExchangeHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @brief Binds and begins to accept.
  /// @param port 0: any free port.
  /// @return the port bound.
  Result<std::uint16_t> Listen(const std::string& address, std::uint16_t port);

  /// @brief Limits for requests that begin from now on.
  void SetLimits(const HttpLimits& limits) { limits_ = limits; }
  const HttpLimits& limits() const { return limits_; }

  void OnRejected(RejectionObserver observer) {
    rejected_ = std::move(observer);
  }

  /// @brief Answers from now on end their connections; idle ones stay open
  /// until their next answer, so that no request under way is cut.
  void CloseAfterAnswers() { close_after_answers_ = true; }

  /// @brief At this many connections those of least worth are ended for new
  /// ones: see MakeRoom. 0: as many as descriptors allow.
  void SetMaxConnections(std::size_t most) { most_ = most; }

  /// @brief Whether new connections can be taken, as far as the last try told.
  bool CanAccept() const { return can_accept_; }

  /// @brief Takes what waits in the backlog and accepts no more.
  void StopAccepting();

  /// @brief Ends idle connections now and the others after their answers.
  void CloseGracefully();

  std::size_t connection_count() const { return sessions_.size(); }

 private:
  friend class ServerSession;

  void Accept();
  void OnAcceptFailed();
  void RetryAccept();
  void Open(boost::asio::ip::tcp::socket socket);

  /// @brief Ends connections on which nobody waits for an answer: those that
  /// linger, then the longest half-sent requests, then the longest idle.
  /// @return whether any was ended.
  bool MakeRoom();
  void Sweep();

  boost::asio::io_context& loop_;
  HttpExchangeHandler handler_;
  HttpLimits limits_;
  RejectionObserver rejected_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer sweep_timer_;
  boost::asio::steady_timer accept_timer_;
  std::unordered_set<std::shared_ptr<ServerSession>> sessions_;
  std::size_t most_ = 0;
  bool can_accept_ = true;
  bool close_after_answers_ = false;
  bool finishing_ = false;
};

}  // namespace pathcleat
