// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "pathcleat/http/buffer_body.hpp"
#include "pathcleat/http/http_server.hpp"
#include "receive_buffer.hpp"
#include "session_memory.hpp"

namespace pathcleat {

/// @brief Orders connections without a request in progress for eviction, lowest
/// first: by kind, then by how long they have been in this state.
struct EvictionRank {
  enum class Kind { kLingering, kPartialRequest, kIdle };
  Kind kind = Kind::kIdle;
  Time since;
  auto operator<=>(const EvictionRank&) const = default;
};

/// @brief Server side of one connection. While a request waits for its answer
/// the socket is still read, so that a disconnect of the caller is detected at
/// once; received bytes are buffered for the next request. Once the buffer is
/// full, the session checks several times a second whether the caller has
/// disconnected.
/// @ingroup http
class ServerSession : public std::enable_shared_from_this<ServerSession> {
 public:
  ServerSession(HttpServer& server, boost::asio::ip::tcp::socket socket);

  void Start();

  /// @brief Takes memory for the connection itself from the server's budget.
  /// @return false if there is none.
  bool ReserveMemory();

  /// @brief Closes the connection if idle, otherwise after the current answer.
  void CloseGracefully();

  /// @brief Applies the timeouts for idle connections, for reading a request
  /// and for lingering. Called several times a second.
  void CheckTimeouts(Time now);

  /// @brief Eviction rank; std::nullopt while the caller waits for an answer or
  /// has sent bytes that are not read yet.
  std::optional<EvictionRank> RankForEviction();

  /// @brief Whether an answer is not written in full yet.
  bool IsWriting() const { return writing_; }

  /// @brief Closes the connection at once, to free it or its memory for another
  /// caller. A request that is partial or unread gets the answer that it was
  /// not run.
  void Evict(RejectionCause cause);

  /// @brief Called when the server is destroyed; closes the connection and
  /// stops all use of the server.
  void Detach();

 private:
  using Parser = boost::beast::http::request_parser<BufferBody>;

  /// @brief Runs a step of this connection. An exception ends the request and
  /// the connection: see EndAfterFailure.
  template <class Step>
  void Run(EntryPoint where, Step&& step);
  void EndAfterFailure();
  void CloseIfIdle();
  void Read();
  void OnReadError(const boost::system::error_code& error);
  void OnCallerHalfClosed();
  void CheckCaller();
  void PollCaller();
  void OnRead(const boost::system::error_code& error, std::size_t bytes);
  void Parse();
  bool ParseStep();
  void RejectEndlessLine();
  bool CheckHeader();
  void HandleRequest();
  void Reject(RejectionCause cause);
  void ReportRejection(RejectionCause cause);
  std::uint64_t MaxBodyBytes() const;
  std::size_t NeededReceiveBuffer() const;
  std::uint64_t RequestBytes(std::size_t receive_buffer) const;
  bool ReserveRequest();
  void AwaitRequest();
  void ReleaseRequest();
  void ReadAhead();
  void PauseReading();
  void ResizeReceiveBuffer(std::size_t bytes);
  void WriteResponse();
  void OnWriteProgress(std::size_t written);
  void OnAnswerNotRead();
  void OnWritten(const boost::system::error_code& error);
  void ApplyTimeouts(Time now);
  void StartLingeringClose();
  void Close();
  void StartRequest();

  HttpServer* server_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer caller_check_timer_;
  std::string caller_ip_;
  SessionMemory memory_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  HttpExchangePtr exchange_;  ///< the request that waits for an answer
  std::string response_head_;
  MessageBody response_body_;
  Time phase_started_at_;  ///< start of idling, reading or closing
  Time write_progress_at_;
  std::uint64_t header_memory_ = 0;  ///< bytes, of the current request
  std::size_t received_ = 0;  ///< bytes that memory_ has not been told of
  std::size_t receive_buffer_ = kSmallReceiveBuffer;  ///< the kernel's, bytes
  bool header_checked_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool last_request_ = false;
  bool caller_half_closed_ = false;  ///< or the caller has disconnected
  bool closing_ = false;  ///< half-closed; received bytes are dropped
  bool closed_ = false;
};

}  // namespace pathcleat
