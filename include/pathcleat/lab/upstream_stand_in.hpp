// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <QObject>
#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "pathcleat/lab/http_listener.hpp"

namespace pathcleat {

/// @brief What a stand-in for one upstream instance saw.
/// @ingroup lab
struct UpstreamLedger {
  int runs = 0;
  int most_in_flight = 0;
  int over_slots = 0;  ///< requests that arrived when all slots were full
  std::map<std::string, int> runs_by_id;   ///< by the caller's X-Run-Id
  std::map<std::string, int> runs_by_key;  ///< by Idempotency-Key
};

/// @brief Options of an upstream stand-in.
/// @ingroup lab
struct UpstreamStandInOptions {
  int slots = 2;
  std::chrono::microseconds mean_service_time{20'000};  ///< exponential
  std::uint64_t seed = 1;
};

/// @brief Small stand-in for an upstream instance: takes a random time a
/// request, answers with what it was asked, honours deadlines and
/// cancellation, tells its health, and keeps a ledger.
/// @ingroup lab
class UpstreamStandIn : public QObject {
 public:
  UpstreamStandIn(const UpstreamStandInOptions& options, QObject* parent);

  Result<std::uint16_t> Listen(const std::string& address, std::uint16_t port);

  void SetLeaving(bool leaving) { leaving_ = leaving; }

  /// @brief Requests are kept until Answer; for tests that order answers.
  void HoldAnswers() { hold_ = true; }
  std::size_t HeldAnswers() const { return held_.size(); }
  void AnswerHeld(std::size_t index);
  void AnswerRun(const std::string& run_id);

  const UpstreamLedger& ledger() const { return ledger_; }
  int in_flight() const { return in_flight_; }

  /// @brief Stops listening and cuts all connections, as a crash would.
  void Crash();

 private:
  void Handle(const HttpExchangePtr& exchange);
  void Run(const HttpExchangePtr& exchange);
  void Answer(const HttpExchangePtr& exchange);

  UpstreamStandInOptions options_;
  HttpListener listener_;
  std::mt19937_64 random_;
  UpstreamLedger ledger_;
  std::vector<HttpExchangePtr> held_;
  int in_flight_ = 0;
  bool leaving_ = false;
  bool hold_ = false;
};

/// @brief The body that a stand-in answers a request with: the caller can
/// tell from it whether the whole answer to its own request arrived.
/// @param run_id the request's X-Run-Id.
/// @ingroup lab
std::string ExpectedAnswer(const std::string& run_id,
                           const std::string& target,
                           const std::string& body);

}  // namespace pathcleat
