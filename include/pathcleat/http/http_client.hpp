// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "pathcleat/core/memory_budget.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/http/answer_fault.hpp"
#include "pathcleat/http/buffer_body.hpp"
#include "pathcleat/http/http_limits.hpp"
#include "pathcleat/http/http_message.hpp"

namespace pathcleat {

/// @brief Outcome of one request on a client connection.
/// @ingroup http
enum class CallOutcome {
  kAnswered,        ///< a complete answer arrived
  kNotSent,         ///< no byte of the request was sent
  kConnectionLost,  ///< bytes may have been sent; no complete answer arrived
  kTimedOut,        ///< bytes may have been sent; no complete answer in time
};

/// @brief Result of one request.
/// @ingroup http
struct CallResult {
  CallOutcome outcome = CallOutcome::kNotSent;
  HttpResponse response;  ///< set for kAnswered
  std::string detail;     ///< cause of any outcome but kAnswered
  /// Set for kConnectionLost if an answer had begun and is at fault.
  std::optional<AnswerFault> fault;
  std::uint64_t received_bytes = 0;  ///< bytes of answers, with headers
  Duration transfer_time{0};  ///< from the first received byte to the end
  /// From Send to the first byte written; zero on a connection that was open.
  Duration send_delay{0};
  /// From the first byte written to the first received byte; zero if no byte
  /// was received.
  Duration answer_delay{0};
  /// The request failed because the peer neither sent bytes nor closed:
  /// `first_byte` or `progress` expired, or TCP got no acknowledgement. Not set
  /// if the total time ran out.
  bool connection_silent = false;
  bool closed_locally = false;  ///< this host closed the connection first
};

/// @brief Disables a timeout, so that only the total time applies.
/// @ingroup http
inline constexpr Duration kNoTimeout = Duration::max();

/// @brief Default time after which a connection is closed if the peer's machine
/// does not acknowledge bytes. Long enough for TCP's first three
/// retransmissions (after 0.2, 0.6 and 1.4 s) and for a second of queueing on a
/// link.
/// @ingroup http
inline constexpr Duration kAckTimeout{3'000'000};

/// @brief Timeouts of one request. A large answer over a slow link takes long,
/// so `total` leaves time for an answer that makes progress; `progress` ends an
/// answer that has stopped arriving.
/// @ingroup http
struct CallTimeouts {
  Duration connect{1'000'000};
  Duration total{5'000'000};  ///< from Send, includes connecting
  /// From the last byte of the request to the first byte of the answer.
  Duration first_byte = kNoTimeout;
  /// Time without a received byte, after the first byte of the answer.
  Duration progress = kNoTimeout;
};

/// @brief Client of one HTTP/1.1 connection that sends one request at a time
/// and never sends a request twice. Owned by shared pointers; must be used in
/// the thread of its event loop.
/// @ingroup http
class HttpClient : public std::enable_shared_from_this<HttpClient> {
 public:
  using Callback = std::function<void(CallResult)>;

  /// @brief Returns whether an answer belongs to the current request. The
  /// client drops an answer that belongs to another request and waits for the
  /// next.
  using Matcher = std::function<bool(const HttpResponse&)>;

  HttpClient(boost::asio::io_context& loop,
             boost::asio::ip::tcp::endpoint endpoint,
             const HttpLimits& limits);

  /// @brief Sends a request; connects first if there is no open connection.
  /// @param callback called once with the result, not from inside this call and
  /// not after Cancel.
  void Send(const HttpRequest& request,
            const CallTimeouts& timeouts,
            Callback callback,
            Matcher matcher = nullptr);

  /// @brief Sets the local IP address to connect from.
  void BindLocalAddress(const std::string& local_address);

  /// @brief Lets answers share a memory budget with other users. A call whose
  /// answer finds no memory ends with kConnectionLost. Must be set before the
  /// first request.
  void SetMemoryBudget(MemoryBudgetPtr budget) {
    memory_budget_ = std::move(budget);
  }

  /// @brief Sets how long the peer's machine may leave bytes or TCP keep-alive
  /// probes unacknowledged before the connection is closed. Must be set before
  /// the first request. An idle connection may stay open up to one second
  /// longer than the limit.
  void SetAckTimeout(Duration limit) { ack_timeout_ = limit; }

  /// @brief Sets a callback that is called if the next request opens a
  /// connection, before the first byte is written. It may call Cancel.
  void OnOpened(std::function<void()> callback) {
    on_opened_ = std::move(callback);
  }

  /// @brief Sets a callback that is called with the status and headers of the
  /// next request's answer if its body has not arrived with them. It must not
  /// call Cancel.
  void OnHead(std::function<void(const HttpResponse&)> callback) {
    on_head_ = std::move(callback);
  }

  /// @brief Closes the connection at once; the callback is not called. Bytes of
  /// a request that have not been sent yet are discarded.
  void Cancel();

  /// @brief Makes the connection end with a reset: bytes that the network still
  /// holds up do not reach the peer later.
  void ResetOnClose();

  /// @brief Whether bytes of the current request may have been sent.
  bool MayHaveSent() const { return connected_; }

  /// @brief Whether the current request has been written completely to the
  /// socket.
  bool IsWritten() const { return request_written_; }

  /// @brief Whether the open connection can be used for another request.
  bool IsReusable() const { return connected_ && !must_close_ && !callback_; }

  /// @brief Whether the peer's machine has not acknowledged all sent bytes yet.
  /// A busy peer still acknowledges; a silent connection does not.
  bool HasUnacknowledgedBytes() const;

  /// @brief Time at which the connection was opened.
  Time opened_at() const { return opened_at_; }

  /// @brief Time of the last received byte, or of the opening if none arrived.
  Time last_byte_at() const { return last_byte_at_; }

  /// @brief Time since which the connection has been idle.
  Time idle_since() const { return idle_since_; }

  /// @brief How long the peer keeps an idle connection open; zero if not
  /// stated.
  Duration keep_alive_timeout() const { return keep_alive_timeout_; }

  /// @brief Bytes received since the current request was sent.
  std::uint64_t received_bytes() const { return received_bytes_; }

  /// @brief Time of the last received byte of the current answer, if any.
  std::optional<Time> last_response_byte_at() const {
    return response_started_ ? std::optional<Time>(last_progress_at_)
                             : std::nullopt;
  }

  /// @brief How long the connection took to open; std::nullopt if the current
  /// request uses a connection that was already open.
  std::optional<Duration> connect_time() const { return connect_time_; }

  /// @brief Whether the current request uses a connection that has carried an
  /// earlier request.
  bool reused() const { return reused_; }

  /// @brief Whether the connection was closed as silent: see
  /// CallResult::connection_silent. Applies to idle connections too.
  bool IsSilent() const { return silent_; }

 private:
  using Parser = boost::beast::http::response_parser<BufferBody>;

  /// @brief Runs a step of the exchange. An exception of this client ends the
  /// exchange as a failure, with the exception as its detail; one of the
  /// callback goes on to whoever runs the event loop.
  template <class Step>
  void Run(Step&& step);
  void OpenSocket();
  void Connect(Duration timeout);
  void OnConnected(Time started_at);
  void OnConnectTimeout();
  void Write();
  void OnWritten(bool complete);
  void Read();
  void OnResponseBytes();
  void OnRead(const boost::system::error_code& error, std::size_t bytes);
  void Parse();
  bool CheckHead();
  bool ReserveAnswer();
  void HandleHead();
  void HandleResponse();
  void ReadNextResponse();
  void OnReadError(const boost::system::error_code& error);
  void OnConnectionEnd(bool is_plain);
  void FinishAnswerAtEnd();
  void OnEndCheck();
  bool HasSocketError() const;
  bool HasUntakenBytes() const;
  Time CurrentDeadline() const;
  void ArmDeadline();
  void OnDeadline();
  void ArmTimer(Duration timeout, void (HttpClient::*on_expiry)());
  void Fail(CallOutcome outcome, std::string detail);
  void RejectAnswer(AnswerFault fault, std::string detail);
  void RejectUnparsable(const boost::system::error_code& error);
  void EndAsFailed(CallResult result);
  void Finish(CallResult result);
  void Close();
  void StartParser();

  boost::asio::io_context& loop_;
  boost::asio::ip::tcp::endpoint endpoint_;
  std::string local_address_;
  HttpLimits limits_;
  mutable boost::asio::ip::tcp::socket
      socket_;  ///< asked for its state in const functions
  boost::asio::steady_timer timer_;
  MemoryBudgetPtr memory_budget_;
  std::unique_ptr<MemoryLease> answer_memory_;  ///< while an answer arrives
  std::string request_head_;
  MessageBody request_body_;
  bool is_head_request_ = false;
  Callback callback_;
  std::function<void()> on_opened_;
  std::function<void(const HttpResponse&)> on_head_;
  Matcher matcher_;
  CallTimeouts timeouts_;
  Time total_deadline_;
  Duration ack_timeout_ = kAckTimeout;
  Time opened_at_;
  Time last_byte_at_;
  Time last_progress_at_;  ///< last byte received, or request written
  std::optional<Duration> connect_time_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  Time idle_since_;
  std::uint64_t received_bytes_ = 0;  ///< since the request was sent
  Time first_byte_;                   ///< time of the first received byte
  Time send_called_at_;               ///< when the current request was given
  Time write_started_at_;             ///< when its first byte was written
  Duration keep_alive_timeout_{0};
  std::uint64_t timer_generation_ = 0;
  int mismatched_responses_ = 0;  ///< dropped since the request was sent
  int interim_responses_ = 0;     ///< 1xx, since the request was sent
  bool connected_ = false;
  bool request_written_ = false;
  bool write_failed_ = false;
  bool answer_ended_ = false;      ///< by the peer's end of the connection
  bool head_checked_ = false;      ///< of the current answer
  bool response_started_ = false;  ///< bytes of the answer have arrived
  bool silent_ = false;
  bool reading_ = false;
  bool peer_closed_ = false;
  bool must_close_ = false;  ///< no further request may use the connection
  bool reused_ = false;
  bool closed_ = false;
};

using HttpClientPtr = std::shared_ptr<HttpClient>;

}  // namespace pathcleat
