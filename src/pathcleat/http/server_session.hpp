// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <compare>
#include <memory>
#include <optional>
#include <string>

#include "pathcleat/http/http_server.hpp"

namespace pathcleat {

/// @brief What a connection without a request under way is worth, the least
/// first: its kind, then since when it has been so.
struct EvictionRank {
  enum class Kind { kLingering, kPartialRequest, kIdle };
  Kind kind = Kind::kIdle;
  Time since;
  auto operator<=>(const EvictionRank&) const = default;
};

/// @brief The server's end of one connection. While a request waits for its
/// answer the socket is still read, so that a caller's leaving is seen at
/// once; what arrives meanwhile is kept as the next request. Once that is as
/// much as is kept, the socket is asked several times a second instead.
/// @ingroup http
class ServerSession : public std::enable_shared_from_this<ServerSession> {
 public:
  ServerSession(HttpServer& server, boost::asio::ip::tcp::socket socket);

  void Start();

  /// @brief Closes if idle; otherwise after the answer under way.
  void CloseGracefully();

  /// @brief Ends what has taken too long. Called several times a second.
  void CheckTimeouts(Time now);

  /// @brief What it is worth; nothing while its caller waits for an answer or
  /// sends.
  std::optional<EvictionRank> RankForEviction();

  /// @brief Ends it at once for others: a request that is half sent, or not
  /// read, is told that it was not run.
  void Evict();

  /// @brief The server is going away: no callbacks any more.
  void Detach();

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void CloseIfIdle();
  void Read();
  void OnReadEnd(const boost::system::error_code& error);
  void OnCallerEnded();
  void CheckCaller();
  void WatchCaller();
  void OnRead(const boost::system::error_code& error, std::size_t bytes);
  void Parse();
  bool ParseStep();
  bool CheckHeader();
  void TakeRequest();
  void Reject(int status);
  void Answer();
  void OnWritten(const boost::system::error_code& error);
  void BeginClose();
  void Close();
  void StartRequest();

  HttpServer* server_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer watch_timer_;
  std::string caller_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  HttpExchangePtr exchange_;  ///< the request that waits for its answer
  std::string out_;
  Time phase_began_;  ///< of waiting idle, of reading, or of closing
  bool header_seen_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool last_request_ = false;
  bool ended_ = false;    ///< the caller sends no more, or has gone
  bool closing_ = false;  ///< half-closed; what arrives is dropped
  bool closed_ = false;
};

}  // namespace pathcleat
