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
#include <utility>

#include "pathcleat/core/error.hpp"
#include "pathcleat/core/handler_failures.hpp"
#include "pathcleat/core/memory_budget.hpp"
#include "pathcleat/http/http_exchange.hpp"
#include "pathcleat/http/http_limits.hpp"
#include "pathcleat/http/rejection.hpp"

namespace pathcleat {

class ServerSession;

/// @brief A listening socket and the HTTP/1.1 connections accepted from it.
/// Requests of one connection are answered in the order of arrival. Must be
/// used in the thread of its event loop.
/// @ingroup http
class HttpServer {
 public:
  /// @brief Called for each request that was rejected before it reached the
  /// handler, and for each connection that was closed for its memory.
  using RejectionObserver = std::function<void(const Rejection&)>;

  HttpServer(boost::asio::io_context& loop, HttpExchangeHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @brief Binds and starts to accept connections: Bind, then StartAccepting.
  /// @param port 0 selects any free port.
  /// @return the bound port.
  Result<std::uint16_t> Listen(const std::string& address, std::uint16_t port);

  /// @brief Binds without accepting: connections to the port are refused. After
  /// a failure the server is closed, and Bind may be called again. The error is
  /// kInUse if another socket has the port.
  Result<void> Bind(const std::string& address, std::uint16_t port);

  /// @brief Starts to accept connections at the bound address. Errors as of
  /// Bind: another process may have bound the port without listening.
  Result<void> StartAccepting();

  /// @brief Closes the listener, with the connections in its backlog. Bind may
  /// be called again.
  void CloseListener();

  /// @brief Lets all connections share a memory budget with other users.
  /// Requests that find no memory are rejected as not run. Must be called
  /// before Listen.
  void SetMemoryBudget(MemoryBudgetPtr budget) {
    memory_budget_ = std::move(budget);
  }

  /// @brief Sets the header that carries the id of a request, for the observer
  /// of rejections.
  void SetRequestIdHeader(std::string name) {
    request_id_header_ = std::move(name);
  }

  /// @brief Sets the limits for requests that start from now on.
  void SetLimits(const HttpLimits& limits) { limits_ = limits; }
  const HttpLimits& limits() const { return limits_; }

  void OnRejected(RejectionObserver observer) {
    on_rejected_ = std::move(observer);
  }

  /// @brief Contains exceptions of the handler and of connections: they end the
  /// one request or connection. Without this call, they leave the event loop.
  /// @param failures must outlive this server.
  void ContainFailures(HandlerFailures& failures) { failures_ = &failures; }

  /// @brief Closes each connection after its next answer. Idle connections stay
  /// open until then, so that no request in transit is lost.
  void CloseAfterAnswers() { close_after_answers_ = true; }

  /// @brief Sets the maximum number of connections. Beyond it, new connections
  /// evict others: see EvictConnections. 0: limited by file descriptors only.
  void SetMaxConnections(std::size_t max) { max_connections_ = max; }

  /// @brief Whether the last attempt to accept a connection succeeded.
  bool CanAccept() const { return can_accept_; }

  /// @brief Accepts the connections in the backlog and closes the listener.
  void StopAccepting();

  /// @brief Closes idle connections now and the others after their answers.
  void CloseGracefully();

  std::size_t connection_count() const { return sessions_.size(); }

  /// @brief Whether any answer is not written in full yet.
  bool IsWriting() const;

 private:
  friend class ServerSession;

  /// @return whether the step ended without an exception.
  template <class Step>
  bool Run(EntryPoint where, const std::string& subject, Step&& step) {
    if (failures_ != nullptr) {
      return failures_->Run(where, subject, std::forward<Step>(step));
    }
    step();
    return true;
  }

  void Accept();
  void OnAcceptFailed();
  void RetryAccept();
  boost::leaf::error_id FailToListen(const std::string& address,
                                     const boost::system::error_code& error);
  void OpenSession(boost::asio::ip::tcp::socket socket);

  /// @brief Closes connections without a caller that waits for an answer: first
  /// lingering connections, then the oldest partial requests, then the
  /// connections that have been idle longest.
  /// @return whether any connection was closed.
  bool EvictConnections();
  void CheckTimeouts();
  void Sweep();

  boost::asio::io_context& loop_;
  HttpExchangeHandler handler_;
  HttpLimits limits_;
  RejectionObserver on_rejected_;
  HandlerFailures* failures_ = nullptr;
  MemoryBudgetPtr memory_budget_;
  std::string request_id_header_;
  boost::asio::ip::tcp::endpoint endpoint_;  ///< the address given to Bind
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer sweep_timer_;
  boost::asio::steady_timer accept_timer_;
  std::unordered_set<std::shared_ptr<ServerSession>> sessions_;
  std::size_t max_connections_ = 0;
  bool can_accept_ = true;
  bool close_after_answers_ = false;
  bool finishing_ = false;
};

}  // namespace pathcleat
