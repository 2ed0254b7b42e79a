// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "pathcleat/calls/header_names.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/http/http_server.hpp"

namespace pathcleat {

/// @brief Counts of the requests that a stand-in for one upstream received and
/// ran.
/// @ingroup lab
struct UpstreamLedger {
  int runs = 0;
  int peak_in_flight = 0;
  double slot_seconds = 0;  ///< sum of the busy times of all slots, up to the
                            ///< last start or end of a run
  int rejected = 0;         ///< requests answered as not run
  std::map<std::string, int> runs_by_id;       ///< by the caller's X-Run-Id
  std::map<std::string, int> runs_by_key;      ///< by Idempotency-Key
  std::map<std::string, int> runs_by_account;  ///< by account name
  int requests_with_authorization = 0;         ///< with an Authorization field
  std::vector<Time> arrivals;  ///< of all requests, also rejected ones
  /// First answer that announced leaving, and first rejection with Retry-After,
  /// since the stand-in was last told to send them.
  std::optional<Time> announced_leaving_at;
  std::optional<Time> asked_for_time_at;
};

/// @brief Options of an upstream stand-in.
/// @ingroup lab
struct UpstreamStandInOptions {
  std::string id = "upstream";
  HeaderNames headers;
  int slots = 2;
  int queue_capacity = 4;  ///< requests that may wait for a slot
  /// Mean of exponentially distributed service times.
  std::chrono::microseconds mean_service_time{20'000};
  std::uint64_t seed = 1;
  /// The stand-in ends requests at the deadline that they state: a queued
  /// request is rejected as not run, a running request is answered with 504.
  bool enforces_deadlines = false;
};

/// @brief How an answer is corrupted.
/// @ingroup lab
enum class AnswerCorruption {
  kNone,
  kNoSignature,     ///< a success without its signature
  kWrongRequestId,  ///< another request's id
  kNoAnswer,        ///< runs the request, then closes the connection
};

/// @brief How a stand-in handles one request, and when.
/// @ingroup lab
struct UpstreamAction {
  enum class Kind {
    kAnswer,       ///< runs the request and answers
    kDisconnect,   ///< runs the request, then closes the connection
    kReject,       ///< rejects the request as not run, after the delay
    kNeverAnswer,  ///< runs the request and never answers
  };
  Kind kind = Kind::kAnswer;
  std::chrono::milliseconds delay{0};  ///< from the request's arrival
};

/// @brief Small stand-in for an upstream instance. Has slots and a short queue,
/// rejects requests that find the queue full or are meant for another instance,
/// echoes the request in its answer, honours cancellation, reports its load and
/// counts requests in a ledger.
/// @ingroup lab
class UpstreamStandIn {
 public:
  UpstreamStandIn(boost::asio::io_context& loop,
                  const UpstreamStandInOptions& options);

  Result<std::uint16_t> Listen(const std::string& address, std::uint16_t port);

  const std::string& id() const { return options_.id; }
  int slots() const { return options_.slots; }

  /// @brief Keeps running requests unanswered until ReleaseAnswer; for tests
  /// that control the order of answers.
  void HoldAnswers(bool hold = true) { hold_answers_ = hold; }
  std::size_t HeldAnswerCount() const { return held_exchanges_.size(); }
  void ReleaseAnswer(std::size_t index);
  void ReleaseAnswerOfRun(const std::string& run_id);

  /// @brief Corrupts all answers from now on.
  void CorruptAnswers(AnswerCorruption corruption) { corruption_ = corruption; }

  /// @brief Rejects all requests as not run from now on.
  void RejectRequests(bool reject) { reject_requests_ = reject; }

  /// @brief Runs requests, but answers this share of them with status 500 from
  /// now on.
  void FailAnswers(double share) { failed_share_ = share; }

  /// @brief Runs this share of the requests that start from now on for this
  /// time, whatever the mean service time is; a share of 0 ends the tail.
  void SetTail(double share, std::chrono::milliseconds work) {
    tail_share_ = share;
    tail_work_ = work;
  }

  /// @brief Sends this text as the rate limit header (requests a second) in all
  /// answers from now on; empty: no header.
  void SetLimitHeader(std::string limit) { limit_header_ = std::move(limit); }

  /// @brief Sends this text as the header that announces leaving in all
  /// answers from now on; empty: no header.
  void SetLeavingHeader(std::string leaving) {
    leaving_header_ = std::move(leaving);
    ledger_.announced_leaving_at.reset();
  }

  /// @brief From now on rejects all requests with status 503 and this text as
  /// Retry-After header; empty: stops.
  /// @param states_not_run whether the answers state that the request has not
  /// run.
  void RejectWithRetryAfter(std::string retry_after,
                            bool states_not_run = true) {
    retry_after_ = std::move(retry_after);
    states_not_run_ = states_not_run;
    reject_requests_ = !retry_after_.empty();
    ledger_.asked_for_time_at.reset();
  }

  /// @brief Called for each request from now on; returns how to handle it.
  using ActionChooser = std::function<UpstreamAction()>;
  void SetActionChooser(ActionChooser chooser) {
    action_chooser_ = std::move(chooser);
  }

  const UpstreamLedger& ledger() const { return ledger_; }
  int in_flight() const { return in_flight_; }

  /// @brief Stops listening and closes all connections, as a crash does.
  void Crash();

  /// @brief From now on crashes when it starts to run a request for this
  /// target.
  void CrashOnTarget(std::string target) { crash_target_ = std::move(target); }
  bool HasCrashed() const { return server_ == nullptr; }

 private:
  void Handle(const HttpExchangePtr& exchange);
  bool IsForOtherUpstream(const HttpExchangePtr& exchange) const;
  void RejectAsNotRun(const HttpExchangePtr& exchange, int status);
  void RunOrQueue(const HttpExchangePtr& exchange);
  void PerformAction(const HttpExchangePtr& exchange,
                     const UpstreamAction& action);
  void FinishAction(const HttpExchangePtr& exchange, UpstreamAction::Kind kind);
  void StartRun(const HttpExchangePtr& exchange);
  void FinishRun();
  std::chrono::microseconds DrawWorkTime();
  void WatchDeadline(const HttpExchangePtr& exchange);
  void OnDeadline(const HttpExchangePtr& exchange);
  void UpdateSlotSeconds();
  void Answer(const HttpExchangePtr& exchange);
  std::string LoadHeaderValue() const;
  void AddStateHeaders(HttpResponse& response);

  boost::asio::io_context& loop_;
  UpstreamStandInOptions options_;
  std::unique_ptr<HttpServer> server_;
  std::mt19937_64 random_;
  UpstreamLedger ledger_;
  std::vector<HttpExchangePtr> held_exchanges_;
  std::vector<HttpExchangePtr> queue_;
  ActionChooser action_chooser_;
  AnswerCorruption corruption_ = AnswerCorruption::kNone;
  std::string limit_header_;    ///< rate limit header sent; empty: no header
  std::string leaving_header_;  ///< leaving header sent; empty: no header
  std::string retry_after_;     ///< sent with rejections; empty: no header
  std::string crash_target_;    ///< target that causes a crash; empty: none
  double failed_share_ = 0;     ///< of the answers
  double tail_share_ = 0;       ///< of the requests
  std::chrono::milliseconds tail_work_{0};
  int in_flight_ = 0;
  /// Time up to which ledger_.slot_seconds is summed.
  Time slot_seconds_until_;
  bool hold_answers_ = false;
  bool reject_requests_ = false;
  bool states_not_run_ = true;  ///< rejections carry the "not run" header
};

/// @brief The body with which a stand-in answers a request. By comparing it, a
/// caller verifies that it received the whole answer to its own request.
/// @param run_id the request's X-Run-Id.
/// @ingroup lab
std::string ExpectedAnswer(const std::string& run_id,
                           const std::string& target,
                           const std::string& body);

}  // namespace pathcleat
