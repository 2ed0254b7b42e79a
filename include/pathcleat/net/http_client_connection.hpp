// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "pathcleat/net/http_limits.hpp"
#include "pathcleat/net/http_message.hpp"

class QTcpSocket;
class QTimer;

namespace pathcleat {

/// @brief How one request on a client connection ended.
/// @ingroup net
enum class ClientOutcome {
  kAnswered,  ///< a whole answer arrived
  kNotSent,   ///< no byte of the request left this host
  kBroken,    ///< bytes may have left; no whole answer came
  kTimedOut,  ///< bytes may have left; no whole answer came in time
};

/// @brief Result of one request.
/// @ingroup net
struct ClientResult {
  ClientOutcome outcome = ClientOutcome::kNotSent;
  HttpResponse response;
  std::string detail;
};

/// @brief The client's end of one HTTP/1.1 connection, one request at a time.
/// It never sends a request twice. Lives in one thread's event loop.
/// @ingroup net
class HttpClientConnection : public QObject {
 public:
  using Callback = std::function<void(ClientResult)>;

  HttpClientConnection(std::string address,
                       std::uint16_t port,
                       const HttpLimits& limits,
                       QObject* parent);
  ~HttpClientConnection() override;

  /// @brief Sends a request, connecting first if there is no connection.
  /// @param timeout for the whole exchange.
  /// @param callback called once, never from inside this call.
  void Send(const HttpRequest& request,
            std::chrono::milliseconds timeout,
            Callback callback);

  /// @brief Uses this local IP number when it connects.
  void BindTo(const std::string& local_address);

  /// @brief Gives up the request in flight: half-closes, so that the peer
  /// learns of it, and reports to the callback only when the peer lets go
  /// (its answer or its close) or the timeout passes.
  void Cancel();

  /// @brief Whether a next request can be sent on the open connection.
  bool IsReusable() const;

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void WriteRequest();
  void OnReadable();
  void Parse();
  void OnGone();
  void Finish(ClientOutcome outcome, std::string detail);

  std::string address_;
  std::uint16_t port_;
  std::string local_address_;
  HttpLimits limits_;
  QTcpSocket* socket_;
  QTimer* timer_;
  HttpRequest request_;
  Callback callback_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  bool written_ = false;
  bool cancelled_ = false;
  bool spent_ = false;
};

}  // namespace pathcleat
