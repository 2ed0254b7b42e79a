// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "pathcleat/core/time.hpp"
#include "pathcleat/http/http_limits.hpp"
#include "pathcleat/http/http_message.hpp"

namespace pathcleat {

/// @brief How one request on a client connection ended.
/// @ingroup http
enum class CallOutcome {
  kAnswered,        ///< a whole answer arrived
  kNotSent,         ///< no byte of the request left this host
  kConnectionLost,  ///< bytes may have left; no whole answer came
  kTimedOut,        ///< bytes may have left; no whole answer came in time
};

/// @brief Result of one request.
/// @ingroup http
struct CallResult {
  CallOutcome outcome = CallOutcome::kNotSent;
  HttpResponse response;             ///< for kAnswered
  std::string detail;                ///< plain words, for the other outcomes
  std::uint64_t received_bytes = 0;  ///< that arrived, headers included
  Duration transfer_time{0};         ///< from the first of them to the end
  /// Given up by a limit on silence or by TCP's probes: the peer neither sent
  /// nor closed. Not set where the total time ran out.
  bool connection_silent = false;
  bool closed_locally = false;  ///< this end closed, and not the peer
};

/// @brief Stands for no limit beside the total time.
/// @ingroup http
inline constexpr Duration kNoTimeout = Duration::max();

/// @brief Limit on the time without an acknowledgement by a peer's machine,
/// unless a connection has its own: TCP's first three retransmissions (after
/// 0.2, 0.6 and 1.4 s) and a link's queue of a second fit into it.
/// @ingroup http
inline constexpr Duration kAckTimeout{3'000'000};

/// @brief Time limits of one request. A large answer over a thin link takes
/// long and is worth waiting for while it arrives (`total`); one that stopped
/// is not (`progress`).
/// @ingroup http
struct CallTimeouts {
  Duration connect{1'000'000};
  Duration total{5'000'000};  ///< from Send, the connecting included
  /// From the request's last byte to the answer's first one.
  Duration first_byte = kNoTimeout;
  /// Without a byte received, once the answer's first one has come.
  Duration progress = kNoTimeout;
};

/// @brief The client's end of one HTTP/1.1 connection, one request at a time.
/// It never sends a request twice. Owned by shared pointers; lives in the
/// thread of its event loop.
/// @ingroup http
class HttpClient : public std::enable_shared_from_this<HttpClient> {
 public:
  using Callback = std::function<void(CallResult)>;

  /// @brief Whether an answer belongs to the request sent. One that does not
  /// is a late or surplus answer: it is dropped and the next one awaited.
  using Matcher = std::function<bool(const HttpResponse&)>;

  HttpClient(boost::asio::io_context& loop,
             boost::asio::ip::tcp::endpoint endpoint,
             const HttpLimits& limits);

  /// @brief Sends a request, connecting first if there is no connection.
  /// @param callback called once, never from inside this call, and not after
  /// Cancel.
  void Send(const HttpRequest& request,
            const CallTimeouts& timeouts,
            Callback callback,
            Matcher matcher = nullptr);

  /// @brief Uses this local IP number when it connects.
  void BindLocalAddress(const std::string& local_address);

  /// @brief For how long the peer's machine may leave bytes or probes
  /// without an acknowledgement before the connection is given up. To be set
  /// before the first request; an idle connection is found a second later at
  /// most.
  void SetAckTimeout(Duration limit) { silence_limit_ = limit; }

  /// @brief Called if the next request opens a connection, before its first
  /// byte is written; may cancel.
  void OnOpened(std::function<void()> callback) {
    on_opened_ = std::move(callback);
  }

  /// @brief Closes the connection at once; the callback is not called. What
  /// of a request has not left this host yet never does.
  void Cancel();

  /// @brief Whether bytes of the request under way may have left this host.
  bool MayHaveSent() const { return connected_; }

  /// @brief Whether the request under way has been handed over whole to the
  /// connection.
  bool IsWritten() const { return written_; }

  /// @brief Whether a next request can be sent on the open connection.
  bool IsReusable() const { return connected_ && !spent_ && !callback_; }

  /// @brief Whether bytes sent still await the acknowledgement of the peer's
  /// machine: a peer that is busy acknowledges, a silent connection does not.
  bool HasUnacknowledgedBytes();

  /// @brief When the connection was opened.
  Time opened_at() const { return opened_at_; }

  /// @brief When the last byte came; the opening, if none has.
  Time last_byte_at() const { return heard_at_; }

  /// @brief Since when the connection has been idle.
  Time idle_since() const { return idle_since_; }

  /// @brief How long the peer says it keeps an idle connection; zero: unsaid.
  Duration keep_alive_timeout() const { return keep_alive_; }

  /// @brief Bytes that arrived since the request under way was sent.
  std::uint64_t received_bytes() const { return received_; }

  /// @brief When bytes of the answer under way last came, if any have.
  std::optional<Time> last_response_byte_at() const {
    return heard_ ? std::optional<Time>(quiet_since_) : std::nullopt;
  }

  /// @brief How long the connection took to open, if this request opened it.
  std::optional<Duration> connect_time() const { return connect_time_; }

  /// @brief Whether the request under way goes over a connection that had
  /// served another one before.
  bool reused() const { return reused_; }

  /// @brief Whether the connection was given up as silent: see
  /// CallResult::silent. An idle one can be, too.
  bool IsSilent() const { return silent_; }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Connect(Duration timeout);
  void OnConnected(Time began);
  void OnNoConnection();
  void Write();
  void OnWritten(bool whole);
  void Read();
  void NoteHeard();
  void OnRead(const boost::system::error_code& error, std::size_t bytes);
  void Parse();
  void TakeResponse();
  void AwaitNext();
  void OnEnd(const boost::system::error_code& error);
  Time Limit() const;
  void ArmLimit();
  void OnLimit();
  void ArmTimer(Duration timeout, void (HttpClient::*step)());
  void Fail(CallOutcome outcome, std::string detail);
  void Finish(CallResult result);
  void Close();
  void StartParser();

  boost::asio::ip::tcp::endpoint endpoint_;
  std::string local_address_;
  HttpLimits limits_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::string out_;
  bool head_ = false;
  Callback callback_;
  std::function<void()> on_opened_;
  Matcher matcher_;
  CallTimeouts timeouts_;
  Time deadline_;
  Duration silence_limit_ = kAckTimeout;
  Time opened_at_;
  Time heard_at_;
  Time quiet_since_;  ///< last byte received, or the request's last one sent
  std::optional<Duration> connect_time_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  Time idle_since_;
  std::uint64_t received_ = 0;  ///< bytes since the request was sent
  Time first_byte_;             ///< when the first of them arrived
  Duration keep_alive_{0};
  std::uint64_t timer_generation_ = 0;
  int strangers_ = 0;  ///< answers dropped since the request was sent
  bool connected_ = false;
  bool written_ = false;
  bool heard_ = false;  ///< bytes have come since the request was sent
  bool silent_ = false;
  bool reading_ = false;
  bool peer_ended_ = false;
  bool spent_ = false;  ///< must not carry another request
  bool reused_ = false;
  bool closed_ = false;
};

using HttpClientPtr = std::shared_ptr<HttpClient>;

}  // namespace pathcleat
