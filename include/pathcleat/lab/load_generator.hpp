// Copyright 2026 The pathcleat authors. SPDX-License-Identifier: MIT
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "pathcleat/core/time.hpp"
#include "pathcleat/http/http_client.hpp"

namespace pathcleat {

/// @brief One kind of request in a load's mix.
/// @ingroup lab
struct LoadKind {
  std::string name;
  std::string method = "GET";
  std::string path;
  double weight = 1;
  bool keyed = false;  ///< carries an Idempotency-Key and is repeated with it
};

/// @brief An open-loop load: arrivals come on schedule whether or not earlier
/// requests were answered.
/// @ingroup lab
struct LoadPlan {
  std::vector<LoadKind> kinds;
  double requests_per_second = 50;
  std::chrono::milliseconds duration{10'000};
  int callers = 50;
  /// First two numbers of the callers' addresses, one entry a region; the
  /// third number is the caller's.
  std::vector<std::string> caller_address_prefixes{"127.101"};
  /// Entry hosts known from the start, "address:port".
  std::vector<std::string> hosts;
  /// Where callers ask which hosts to use, "address:port"; empty: nowhere.
  std::vector<std::string> locators;
  std::string host_header = "caller";  ///< sent as the Host field
  std::uint64_t seed = 1;
};

/// @brief What the callers of one kind were told, after their repeats.
/// @ingroup lab
struct LoadCounts {
  int sent = 0;
  int answered = 0;
  int not_run = 0;
  int unknown = 0;
  int connection_lost = 0;  ///< the connection ended without an answer
  int corrupt_answers =
      0;  ///< an answer that is not the whole answer to the request
  std::vector<double> latency_ms;  ///< from the scheduled arrival; answered
  std::vector<double> refusal_ms;  ///< the same, of those told "not run"
};

/// @brief One caller's request, for comparison with the upstreams' ledgers.
/// @ingroup lab
struct LoadRecord {
  std::string run_id;
  std::string key;
  bool reported_not_run = false;  ///< by the last word on this attempt
};

/// @brief Sends a load from many local addresses, as callers would: asks an
/// entry host which to use, goes to the next when one does not answer, and
/// repeats keyed requests with their key.
/// @ingroup lab
class LoadGenerator {
 public:
  LoadGenerator(boost::asio::io_context& loop, const LoadPlan& plan);

  /// @brief Starts; finished is called after the last answer.
  void Start(std::function<void()> finished);

  const std::map<std::string, LoadCounts>& counts() const { return counts_; }
  const std::vector<LoadRecord>& records() const { return records_; }

 private:
  struct Caller {
    std::string address;
    std::vector<std::string> hosts;
    Time hosts_until;
    std::size_t locator_turn = 0;
  };
  struct Request;
  using RequestPtr = std::shared_ptr<Request>;

  void Arrive();
  void ScheduleNext();
  void Locate(const RequestPtr& request);
  void Send(const RequestPtr& request);
  void OnResult(const RequestPtr& request, const CallResult& result);
  void Repeat(const RequestPtr& request, std::chrono::milliseconds wait);
  void Finish(const RequestPtr& request);
  HttpClientPtr ConnectionFor(const RequestPtr& request);
  HttpClientPtr LocatorFor(const RequestPtr& request);
  void After(std::chrono::microseconds wait, std::function<void()> step);

  boost::asio::io_context& loop_;
  LoadPlan plan_;
  std::mt19937_64 random_;
  std::vector<Caller> callers_;
  std::map<std::string, LoadCounts> counts_;
  std::vector<LoadRecord> records_;
  std::function<void()> finished_;
  Time started_;
  Time next_arrival_;
  std::uint64_t next_id_ = 1;
  int in_flight_ = 0;
  bool all_arrived_ = false;
};

/// @brief Value below which the given share of the samples lies.
/// @param samples any order; 0 if empty.
/// @ingroup lab
double Quantile(std::vector<double> samples, double share);

}  // namespace pathcleat
