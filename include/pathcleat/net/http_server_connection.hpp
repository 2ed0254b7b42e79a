// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>
#include <QTcpSocket>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include "pathcleat/net/http_exchange.hpp"
#include "pathcleat/net/http_limits.hpp"

class QTimer;

namespace pathcleat {

/// @brief The server's end of one HTTP/1.1 connection: reads requests within
/// the limits, answers them in the order asked, and deletes itself when the
/// connection ends. Lives in one thread's event loop.
/// @ingroup net
class HttpServerConnection : public QObject {
 public:
  /// @brief Picks the body limit, in bytes, from a request's method and
  /// target, before its body is read.
  using BodyLimit =
      std::function<std::uint64_t(std::string_view, std::string_view)>;

  /// @param descriptor an accepted socket; owned from here on.
  HttpServerConnection(qintptr descriptor,
                       const HttpLimits& limits,
                       BodyLimit body_limit,
                       HttpHandler handler,
                       QObject* parent);
  ~HttpServerConnection() override;

  /// @brief Ends the connection once all requests in flight are answered.
  void FinishAndClose();

  /// @brief Called for each request turned away before the handler saw it.
  void OnRejected(std::function<void(int status, const std::string& caller)>);

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void StartRequest();
  void OnReadable();
  void ParseBuffered();
  bool ParseStep();
  void OnHeader();
  void TakeRequest();
  void Reject(int status);
  void FlushAnswers();
  void Write(const HttpExchange& exchange, bool keep_alive);
  void BeginClose();
  void Discard();
  void OnTimeout();
  void OnGone();
  void ArmTimer();

  QTcpSocket* socket_;
  QTimer* timer_;
  HttpLimits limits_;
  BodyLimit body_limit_;
  HttpHandler handler_;
  std::function<void(int, const std::string&)> on_rejected_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  bool header_seen_ = false;
  bool last_request_taken_ = false;
  bool closing_ = false;
  bool discarding_ = false;  ///< all is answered; what still comes is dropped
  bool half_closed_ = false;
  std::deque<HttpExchangePtr> exchanges_;
  std::string caller_;
};

}  // namespace pathcleat
