// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "pathcleat/calls/header_names.hpp"
#include "pathcleat/core/time.hpp"
#include "pathcleat/http/http_server.hpp"

namespace pathcleat {

/// @brief What a stand-in for one upstream instance saw.
/// @ingroup lab
struct UpstreamLedger {
  int runs = 0;
  int peak_in_flight = 0;
  double slot_seconds = 0;  ///< of work, up to the last begin or end of one
  int rejected = 0;         ///< requests told that they were not run
  std::map<std::string, int> runs_by_id;       ///< by the caller's X-Run-Id
  std::map<std::string, int> runs_by_key;      ///< by Idempotency-Key
  std::map<std::string, int> runs_by_account;  ///< by the account told
  int requests_with_authorization =
      0;                       ///< requests with an Authorization field
  std::vector<Time> arrivals;  ///< of requests, also those turned away
};

/// @brief Options of an upstream stand-in.
/// @ingroup lab
struct UpstreamStandInOptions {
  std::string id = "upstream";
  HeaderNames headers;
  int slots = 2;
  int queue_capacity = 4;  ///< requests that may wait for a slot
  std::chrono::microseconds mean_service_time{20'000};  ///< exponential
  std::uint64_t seed = 1;
  /// Work ends at the time that the request tells: in the queue as not run,
  /// under way by an answer that says so.
  bool enforces_deadlines = false;
};

/// @brief How an answer is spoilt.
/// @ingroup lab
enum class AnswerCorruption {
  kNone,
  kNoSignature,     ///< a success that lacks its signature
  kWrongRequestId,  ///< another request's id
  kNoAnswer,        ///< runs, then closes without an answer
};

/// @brief What a stand-in does with one request, and when.
/// @ingroup lab
struct UpstreamAction {
  enum class Kind {
    kAnswer,       ///< runs it and answers
    kDisconnect,   ///< runs it and closes without an answer
    kReject,       ///< lets it wait and says that it has not run it
    kNeverAnswer,  ///< runs it and says nothing
  };
  Kind kind = Kind::kAnswer;
  std::chrono::milliseconds delay{0};  ///< from the request's arrival
};

/// @brief Small stand-in for an upstream instance: has slots and a short
/// queue, turns away what is too much or meant for another instance, answers
/// with what it was asked, honours cancellation, tells its load and keeps a
/// ledger.
/// @ingroup lab
class UpstreamStandIn {
 public:
  UpstreamStandIn(boost::asio::io_context& loop,
                  const UpstreamStandInOptions& options);

  Result<std::uint16_t> Listen(const std::string& address, std::uint16_t port);

  const std::string& id() const { return options_.id; }
  int slots() const { return options_.slots; }

  /// @brief Requests are kept until Answer; for tests that order answers.
  void HoldAnswers(bool hold = true) { hold_ = hold; }
  std::size_t HeldAnswerCount() const { return held_.size(); }
  void ReleaseAnswer(std::size_t index);
  void ReleaseAnswerOfRun(const std::string& run_id);

  /// @brief Spoils all answers from now on.
  void CorruptAnswers(AnswerCorruption how) { spoilt_ = how; }

  /// @brief Says that it has not run any request from now on.
  void RejectRequests(bool turn_away) { turn_away_ = turn_away; }

  /// @brief Names a limit of requests a second in all answers from now on, in
  /// these words; empty: none.
  void SetLimitHeader(std::string limit) { limit_ = std::move(limit); }

  /// @brief Asked what to do with each request from now on.
  using ActionChooser = std::function<UpstreamAction()>;
  void SetActionChooser(ActionChooser director) {
    director_ = std::move(director);
  }

  const UpstreamLedger& ledger() const { return ledger_; }
  int in_flight() const { return in_flight_; }

  /// @brief Stops listening and cuts all connections, as a crash would.
  void Crash();

  /// @brief Crashes from now on when it begins to run a request for this
  /// target.
  void CrashOnTarget(std::string target) { fatal_target_ = std::move(target); }
  bool HasCrashed() const { return server_ == nullptr; }

 private:
  void Handle(const HttpExchangePtr& exchange);
  bool IsForAnother(const HttpExchangePtr& exchange) const;
  void RefuseNotRun(const HttpExchangePtr& exchange, int status);
  void Run(const HttpExchangePtr& exchange);
  void Act(const HttpExchangePtr& exchange, const UpstreamAction& act);
  void EndAct(const HttpExchangePtr& exchange, UpstreamAction::Kind kind);
  void Begin(const HttpExchangePtr& exchange);
  void End();
  void WatchDeadline(const HttpExchangePtr& exchange);
  void OnDeadline(const HttpExchangePtr& exchange);
  void CountSlots();
  void Answer(const HttpExchangePtr& exchange);
  std::string LoadText() const;
  void AddState(HttpResponse& response) const;

  boost::asio::io_context& loop_;
  UpstreamStandInOptions options_;
  std::unique_ptr<HttpServer> server_;
  std::mt19937_64 random_;
  UpstreamLedger ledger_;
  std::vector<HttpExchangePtr> held_;
  std::vector<HttpExchangePtr> queue_;
  ActionChooser director_;
  AnswerCorruption spoilt_ = AnswerCorruption::kNone;
  std::string limit_;         ///< that answers name; empty: none
  std::string fatal_target_;  ///< empty: none
  int in_flight_ = 0;
  Time counted_;  ///< up to when slot_seconds is told
  bool hold_ = false;
  bool turn_away_ = false;
};

/// @brief The body that a stand-in answers a request with: the caller can
/// tell from it whether the whole answer to its own request arrived.
/// @param run_id the request's X-Run-Id.
/// @ingroup lab
std::string ExpectedAnswer(const std::string& run_id,
                           const std::string& target,
                           const std::string& body);

}  // namespace pathcleat
